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

    /** Wait after a failed probe, milliseconds. */
    private static final long FAILED_WAIT_MS = TimeUnit.SECONDS.toMillis(8);

    /** Failures in a row that sound parts hardly meet, since each target ended alone. */
    private static final int CERTAIN_FAILURES = 3;

    /** Wait once {@link #CERTAIN_FAILURES} probes have failed, milliseconds. */
    private static final long CERTAIN_WAIT_MS = TimeUnit.SECONDS.toMillis(90);

    /**
     * Longest time for which parts hold items back before one is sent as a probe, milliseconds,
     * unless {@link #CERTAIN_FAILURES} probes in a row have failed.
     */
    public static final long MAX_WAIT_MS = FAILED_WAIT_MS;

    private ProbeSchedule() {}

    /**
     * Returns the failures for an entry of a host of an older version, which counts claims only.
     */
    public static int failuresOfClaims(int claims) {
        return Math.min(claims, CERTAIN_FAILURES - 1);
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
