package org.sesamepin.core.job;

/**
 * Orders batch work by its due time. Answers the backlog behind an outage or a burst: work that can
 * no longer be done in time goes behind all that can, or the whole backlog would end late.
 */
public final class DueOrder {
    /** Time for which a finished item waits to be published and read, milliseconds. */
    private static final long DELIVERY_DELAY_MS = 1_000;

    private DueOrder() {}

    /**
     * Compares two pieces of work.
     *
     * @param dueInMs how soon the first is due, milliseconds; negative when it is overdue
     * @param otherDueInMs how soon the second is due, milliseconds
     * @return negative when the first goes first
     */
    public static int compare(long dueInMs, long otherDueInMs) {
        int late = Boolean.compare(isLate(dueInMs), isLate(otherDueInMs));
        return late != 0 ? late : Long.compare(dueInMs, otherDueInMs);
    }

    private static boolean isLate(long dueInMs) {
        return dueInMs < DELIVERY_DELAY_MS;
    }
}
