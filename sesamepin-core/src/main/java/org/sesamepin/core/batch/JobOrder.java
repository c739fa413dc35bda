package org.sesamepin.core.batch;

import java.util.Comparator;
import java.util.List;

/**
 * Order in which jobs get free slots: jobs at risk of being late first, then jobs of the customer
 * with the fewest running items relative to its weight, then the job that is due first.
 */
public final class JobOrder {
    /**
     * A job with the values by which it is ordered.
     *
     * @param jobId id of the job
     * @param customer customer that submitted it
     * @param weight weight of the customer in the division of batch slots
     * @param runningOfCustomer number of items of the customer that are running
     * @param dueAtMs time at which it is due, milliseconds since the Unix epoch
     * @param estimatedRemainingMs time that its open items will take at the current rate,
     *     milliseconds
     */
    public record Entry(
            String jobId,
            String customer,
            long weight,
            int runningOfCustomer,
            long dueAtMs,
            long estimatedRemainingMs) {
        boolean isAtRisk(long nowMs) {
            return nowMs + estimatedRemainingMs + SLACK_MS >= dueAtMs;
        }

        double runningItemsPerWeight() {
            return (double) runningOfCustomer / weight;
        }
    }

    /** Margin before the due time by which a job should be done, milliseconds. */
    private static final long SLACK_MS = 10 * 60_000;

    private JobOrder() {}

    /** Returns the jobs in the order in which they get slots. */
    public static List<Entry> sort(List<Entry> jobs, long nowMs) {
        Comparator<Entry> order =
                Comparator.<Entry, Boolean>comparing(e -> !e.isAtRisk(nowMs))
                        .thenComparingDouble(Entry::runningItemsPerWeight)
                        .thenComparingLong(Entry::dueAtMs)
                        .thenComparing(Entry::jobId);
        return jobs.stream().sorted(order).toList();
    }
}
