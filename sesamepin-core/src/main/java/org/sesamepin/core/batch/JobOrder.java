package org.sesamepin.core.batch;

import java.util.Comparator;
import java.util.List;

/**
 * Order in which jobs get free slots: a job at risk of being late first, then the customer with the
 * least running work for its weight, then the job that is due first.
 */
public final class JobOrder {
    /**
     * A job as the order sees it.
     *
     * @param jobId the job
     * @param customer the customer to whom it belongs
     * @param weight the customer's share of batch slots
     * @param runningOfCustomer items of the customer that run now
     * @param dueAtMs when it is due, milliseconds since 1970
     * @param estimatedRemainingMs time its open items will take at its present speed, milliseconds
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

    /** Time before the due time at which a job should be done, milliseconds. */
    private static final long SLACK_MS = 10 * 60_000;

    private JobOrder() {}

    /** Returns the jobs, the next to be served first. */
    public static List<Entry> sort(List<Entry> jobs, long nowMs) {
        Comparator<Entry> order =
                Comparator.<Entry, Boolean>comparing(e -> !e.isAtRisk(nowMs))
                        .thenComparingDouble(Entry::runningItemsPerWeight)
                        .thenComparingLong(Entry::dueAtMs)
                        .thenComparing(Entry::jobId);
        return jobs.stream().sorted(order).toList();
    }
}
