package org.sesamepin.core.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Start-time fair queue: each flow gets a share of the service in proportion to its weight, however
 * many entries of other flows are queued. Not thread-safe.
 *
 * @param <T> type of the queued entries
 */
public final class FairQueue<T> {
    private record Tagged<T>(double startTag, long sequence, String flow, T entry) {}

    private final PriorityQueue<Tagged<T>> mEntries =
            new PriorityQueue<>(
                    Comparator.<Tagged<T>>comparingDouble(Tagged::startTag)
                            .thenComparingLong(Tagged::sequence));
    private final Map<String, Double> mFinishTagByFlow = new HashMap<>();
    private double mVirtualTime;
    private long mNextSequence;

    /**
     * Queues an entry.
     *
     * @param flow flow to which the entry belongs
     * @param cost units of service that the entry uses
     * @param weight weight of the flow
     */
    public void add(String flow, double cost, double weight, T entry) {
        double startTag = Math.max(mVirtualTime, mFinishTagByFlow.getOrDefault(flow, 0.0));
        mFinishTagByFlow.put(flow, startTag + cost / weight);
        mEntries.add(new Tagged<>(startTag, mNextSequence++, flow, entry));
    }

    /** Removes and returns the next entry, or returns null when the queue is empty. */
    public @Nullable T poll() {
        Tagged<T> next = mEntries.poll();
        if (next == null) {
            mFinishTagByFlow.clear();
            mVirtualTime = 0;
            return null;
        }
        mVirtualTime = next.startTag();
        return next.entry();
    }

    /** Removes and returns all entries for which {@code condition} holds. */
    public List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>();
        mEntries.removeIf(
                tagged -> {
                    boolean match = condition.test(tagged.entry());
                    if (match) {
                        removed.add(tagged.entry());
                    }
                    return match;
                });
        return removed;
    }

    public int size() {
        return mEntries.size();
    }

    public boolean isEmpty() {
        return mEntries.isEmpty();
    }
}
