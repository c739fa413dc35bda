package org.sesamepin.core.prompt;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long items wait for the next probe of a quarantine. An accepted item has to be done
 * soon after the last disruption, so no number of failed probes makes it wait for longer than
 * {@link #MAX_WAIT_MS}: chance alone ends several targets in a row under a sound item. A probe has
 * failed when its target ended, and no other target without the suspected parts. One that was not
 * sent, was preempted, or was lost with its host or by an outage of several targets says nothing.
 */
public final class ProbeSchedule {
    /**
     * Time from the claim of a probe to its outcome, milliseconds: it is sent, and ends its target
     * or is answered for a while. The next probe may be claimed then if no outcome is known.
     */
    static final long OUTCOME_MS = TimeUnit.SECONDS.toMillis(4);

    /** Time from the claim of a probe that failed to the next one, milliseconds. */
    private static final long FAILED_WAIT_MS = TimeUnit.SECONDS.toMillis(8);

    /** Longest time from the claim of a probe with an item to the next one, milliseconds. */
    public static final long MAX_WAIT_MS = FAILED_WAIT_MS;

    /**
     * Additional wait of requests that callers send, milliseconds, so that items, which are owed,
     * are tried before them. A request that is refused meanwhile may come again.
     */
    private static final long REQUEST_WAIT_MS = TimeUnit.SECONDS.toMillis(4);

    /** Failures up to which failed requests count; from then on requests are probes seldom. */
    private static final int MAX_REQUEST_FAILURES = 2;

    /** Additional wait of requests from {@link #MAX_REQUEST_FAILURES} on, milliseconds. */
    private static final long SELDOM_REQUEST_WAIT_MS = TimeUnit.SECONDS.toMillis(90);

    private ProbeSchedule() {}

    /** Returns whether a failed request counts after {@code failures} failed probes. */
    static boolean countsRequest(int failures) {
        return failures < MAX_REQUEST_FAILURES;
    }

    /** Returns the wait of requests beyond that of items, milliseconds. */
    static long requestWaitMs(int failures) {
        return countsRequest(failures) ? REQUEST_WAIT_MS : SELDOM_REQUEST_WAIT_MS;
    }

    /**
     * Returns the failures for an entry of a host of an older version, which counts claims only.
     */
    public static int failuresOfClaims(int claims) {
        return Math.min(claims, 1);
    }

    /** Returns the wait after the last of {@code failures} failed probes, milliseconds. */
    static long waitAfterFailuresMs(int failures) {
        return failures == 0 ? OUTCOME_MS : FAILED_WAIT_MS;
    }

    /**
     * Returns the wait for a host that does not know when the last claim or failure was, such as
     * one that has just started. As the clocks of hosts differ, it is never less than {@link
     * #OUTCOME_MS}. It is never more than {@link #MAX_WAIT_MS} either, whatever the entry says,
     * since hosts of older versions let items wait for longer.
     *
     * @param remainingMs time until the next probe by the clock of the host that wrote the entry
     */
    static long remainingMs(int failures, long remainingMs) {
        return Math.max(OUTCOME_MS, Math.min(waitAfterFailuresMs(failures), remainingMs));
    }
}
