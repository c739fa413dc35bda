package org.sesamepin.core.job;

import java.util.concurrent.TimeUnit;

/**
 * How long an item waits until it runs again after an interruption. The wait is short, and longer
 * after several runs in a row that broke as they began, up to {@link #MAX_DELAY_NANOS}.
 */
public final class BackOff {
    /** Wait after an interruption that says nothing of the item. */
    static final long FIRST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Longest wait, so that an item runs soon after the last end of a target. */
    public static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Broken runs up to which the wait does not grow; a few are met by chance. */
    private static final int SHORT_WAITS = 2;

    /** Number of doublings after which the wait is the longest one in any case. */
    private static final int MAX_DOUBLINGS = 10;

    /** Number of events up to which a run has only begun. */
    private static final long MAX_EVENTS_AT_BEGIN = 2;

    private BackOff() {}

    /** Returns whether a run that brought {@code events} events has only begun. */
    static boolean hasBegunOnly(long events) {
        return events <= MAX_EVENTS_AT_BEGIN;
    }

    /**
     * Returns the wait after a broken run, nanoseconds.
     *
     * @param brokenRuns number of runs in a row that broke as they began, this one included
     */
    public static long delayNanos(int brokenRuns) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, brokenRuns - SHORT_WAITS));
        return Math.min(MAX_DELAY_NANOS, FIRST_DELAY_NANOS << doublings);
    }
}
