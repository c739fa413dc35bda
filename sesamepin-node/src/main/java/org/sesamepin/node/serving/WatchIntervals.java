package org.sesamepin.node.serving;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Shortest intervals between two watch calls of a host when changes are frequent. They grow with
 * the number of hosts, since each change wakes the watches of all.
 */
final class WatchIntervals {
    /**
     * Watch calls per second of all hosts together for jobs and hosts. The limit may be low, since
     * a peer sends a notice of urgent changes.
     */
    private static final long CONTROL_WATCHES_PER_S = 8;

    private static final long MAX_CONTROL_INTERVAL_MS = 3_000;

    /**
     * Watch calls per second of all hosts together for targets. The limit is higher, since no
     * request may go to a target that has left.
     */
    private static final long TARGET_WATCHES_PER_S = 64;

    private static final long MAX_TARGET_INTERVAL_MS = 1_000;

    private final IntSupplier mHosts;

    /**
     * Creates the intervals of a fleet.
     *
     * @param hosts number of the registered hosts
     */
    WatchIntervals(IntSupplier hosts) {
        mHosts = hosts;
    }

    /** Returns the interval for jobs and hosts, milliseconds. */
    long controlMs() {
        return intervalMs(CONTROL_WATCHES_PER_S, MAX_CONTROL_INTERVAL_MS);
    }

    /** Returns the interval for targets, milliseconds. */
    long targetsMs() {
        return intervalMs(TARGET_WATCHES_PER_S, MAX_TARGET_INTERVAL_MS);
    }

    private long intervalMs(long callsPerS, long maxMs) {
        return Math.min(maxMs, TimeUnit.SECONDS.toMillis(mHosts.getAsInt()) / callsPerS);
    }
}
