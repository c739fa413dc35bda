package org.sesamepin.core.prompt;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long items wait for the next probe of a quarantine. An accepted item has to be done
 * soon after the last disruption, so the wait depends on the probes that <em>failed</em> only:
 * those under which their target ended, and no other target without the suspected parts. A probe
 * that was not sent, was preempted, or was lost with its host or by an outage of several targets
 * says nothing and lengthens no wait.
 */
public final class ProbeSchedule {
    /**
     * Time from the claim of a probe to its outcome, milliseconds: it is sent, and ends its target
     * or is answered for a while. The next probe may be claimed then if no outcome is known.
     */
    static final long OUTCOME_MS = TimeUnit.SECONDS.toMillis(4);

    /** Time from the claim of a probe that failed to the next one, milliseconds. */
    private static final long FAILED_WAIT_MS = TimeUnit.SECONDS.toMillis(8);

    /** Failures since the last lift that sound parts hardly meet, as each target ended alone. */
    private static final int CERTAIN_FAILURES = 3;

    /** Time from a claim to the next one after {@link #CERTAIN_FAILURES}, milliseconds. */
    private static final long CERTAIN_WAIT_MS = TimeUnit.SECONDS.toMillis(90);

    /**
     * Longest time from the claim of a probe to the next one, milliseconds, unless {@link
     * #CERTAIN_FAILURES} probes have failed.
     */
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
        if (failures == 0) {
            return OUTCOME_MS;
        }
        return failures < CERTAIN_FAILURES ? FAILED_WAIT_MS : CERTAIN_WAIT_MS;
    }

    /**
     * Returns the wait for a host that does not know when the last claim or failure was, such as
     * one that has just started. As the clocks of hosts differ, it is never less than {@link
     * #OUTCOME_MS}, and certain failures count from now on.
     *
     * @param remainingMs time until the next probe by the clock of the host that wrote the entry
     */
    static long remainingMs(int failures, long remainingMs) {
        long maxMs = waitAfterFailuresMs(failures);
        return failures < CERTAIN_FAILURES
                ? Math.max(OUTCOME_MS, Math.min(maxMs, remainingMs))
                : maxMs;
    }
}
