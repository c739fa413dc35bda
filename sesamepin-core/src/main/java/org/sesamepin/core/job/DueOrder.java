package org.sesamepin.core.job;

/**
 * Orders batch work by its due time. Work that can no longer be done in time goes after all work
 * that can. Otherwise, in the backlog after an outage or a burst, the overdue work would make all
 * of the remaining work late.
 */
public final class DueOrder {
    /** Time from the end of an item until its result is published and read, milliseconds. */
    private static final long DELIVERY_DELAY_MS = 1_000;

    private DueOrder() {}

    /**
     * Compares two units of work.
     *
     * @param dueInMs time until the first is due, less the time that it takes to run, milliseconds;
     *     negative when it is overdue
     * @param otherDueInMs the same for the second
     * @return negative when the first comes before the second, 0 when they are equal, positive
     *     otherwise
     */
    public static int compare(long dueInMs, long otherDueInMs) {
        int late = Boolean.compare(isLate(dueInMs), isLate(otherDueInMs));
        return late != 0 ? late : Long.compare(dueInMs, otherDueInMs);
    }

    private static boolean isLate(long dueInMs) {
        return dueInMs < DELIVERY_DELAY_MS;
    }
}
