package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.job.DueOrder;

/**
 * Batch items that wait for a placement, by host, as the hosts reported. A report expires, since a
 * host that has ended cannot use a placement. Not thread-safe.
 */
final class WaitingItemsTable {
    /**
     * The items of one host.
     *
     * @param waitingSince when the host began to wait, or last got a placement
     */
    private record Waiting(int items, long firstDueAt, long reportedAt, long waitingSince) {
        Waiting withoutOne(long now) {
            return new Waiting(items - 1, firstDueAt, reportedAt, now);
        }
    }

    private final Map<String, Waiting> mByHost = new HashMap<>();

    /**
     * Replaces what {@code host} reported before.
     *
     * @param firstDueAt reading of the monotonic clock at which the first item is due, nanoseconds
     */
    void recordReport(String host, int items, long firstDueAt, long now) {
        if (items > 0) {
            Waiting previous = mByHost.get(host);
            long waitingSince = previous == null ? now : previous.waitingSince();
            mByHost.put(host, new Waiting(items, firstDueAt, now, waitingSince));
        } else {
            mByHost.remove(host);
        }
    }

    /** Removes one item of {@code host}, which was placed. */
    void removeOne(String host, long now) {
        mByHost.computeIfPresent(
                host, (name, waiting) -> waiting.items() > 1 ? waiting.withoutOne(now) : null);
    }

    /** Returns how long the items of {@code host} have waited for a placement, nanoseconds. */
    long waitedNanos(String host, long now) {
        Waiting waiting = mByHost.get(host);
        return waiting == null ? 0 : now - waiting.waitingSince();
    }

    /** Drops the items of the hosts that have not reported for a while. */
    void dropExpired(long now) {
        mByHost.values()
                .removeIf(waiting -> now - waiting.reportedAt() > InFlightTable.REPORT_TTL_NANOS);
    }

    /** Returns the number of waiting items of all hosts. */
    int total() {
        return mByHost.values().stream().mapToInt(Waiting::items).sum();
    }

    /**
     * Returns the host whose first item is due first, except those of {@code excluded}; empty when
     * no item waits.
     */
    String hostWithFirstDueItem(Set<String> excluded, long now) {
        String firstHost = "";
        long firstDueInMs = 0;
        for (Map.Entry<String, Waiting> entry : mByHost.entrySet()) {
            if (excluded.contains(entry.getKey())) {
                continue;
            }
            long dueInMs = TimeUnit.NANOSECONDS.toMillis(entry.getValue().firstDueAt() - now);
            if (firstHost.isEmpty() || DueOrder.compare(dueInMs, firstDueInMs) < 0) {
                firstHost = entry.getKey();
                firstDueInMs = dueInMs;
            }
        }
        return firstHost;
    }
}
