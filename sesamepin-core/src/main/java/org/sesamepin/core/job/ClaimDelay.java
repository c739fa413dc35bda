package org.sesamepin.core.job;

import java.util.concurrent.TimeUnit;

/**
 * How long a host waits before it claims a job without an owner. The hosts take turns in the order
 * of rendezvous hashing: were all but the first to claim at the same time, a loss of many hosts
 * would cost a write to the store for each job and host, of which all but one are refused.
 */
public final class ClaimDelay {
    /** Time that the first host has for its claim before the second one claims. */
    private static final long FIRST_TURN_MS = 3_000;

    /** Time between the turns of two further hosts. */
    private static final long TURN_MS = 1_000;

    /** Turns after which no host waits longer, so that a job is never left for lack of a turn. */
    private static final int MAX_TURNS = 8;

    private ClaimDelay() {}

    /**
     * Returns the delay, nanoseconds.
     *
     * @param rank number of hosts that come before the host for this job
     */
    public static long nanos(int rank) {
        if (rank <= 0) {
            return 0;
        }
        long turns = Math.min(rank, MAX_TURNS) - 1L;
        return TimeUnit.MILLISECONDS.toNanos(FIRST_TURN_MS + turns * TURN_MS);
    }
}
