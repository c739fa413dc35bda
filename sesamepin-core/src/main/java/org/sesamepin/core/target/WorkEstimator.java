package org.sesamepin.core.target;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Learns from ended requests how much work a request is: the time that it takes on a target of
 * usual speed. Requests of one route that declare about as many tokens count as alike. A class that
 * has seen few requests leans on its route. Not thread-safe.
 */
public final class WorkEstimator {
    /**
     * Work that a request is expected to be.
     *
     * @param meanMs expected time on a target of usual speed, milliseconds
     * @param errorMs mean deviation of the requests seen from their mean, milliseconds
     */
    public record Estimate(double meanMs, double errorMs) {}

    /** Requests after which an average changes by a tenth of a deviation. */
    private static final int MEMORY = 10;

    /** Requests of a class that weigh as much as its route. */
    private static final double ROUTE_WEIGHT = 3;

    /** Bounds the memory for routes and classes; the least recently used are dropped. */
    private static final int MAX_CLASSES = 1_024;

    private static final int WHOLE_ROUTE = -1;

    private record Key(String route, int sizeClass) {}

    private static final class Average {
        private int mCount;
        private double mMeanMs;
        private double mDeviationMs;

        void record(double workMs) {
            mCount = Math.min(mCount + 1, MEMORY);
            double difference = workMs - mMeanMs;
            mMeanMs += difference / mCount;
            mDeviationMs += (Math.abs(difference) - mDeviationMs) / mCount;
        }
    }

    private final Map<Key, Average> mAverages =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Key, Average> eldest) {
                    return size() > MAX_CLASSES;
                }
            };

    /**
     * Records an ended request. One that declares no tokens, or whose time is no positive number,
     * is ignored.
     *
     * @param workMs time that it took, as on a target of usual speed, milliseconds
     */
    public void record(String route, RequestSize size, double workMs) {
        if (!size.isDeclared() || !(workMs > 0) || Double.isInfinite(workMs)) {
            return;
        }
        average(new Key(route, WHOLE_ROUTE)).record(workMs);
        average(new Key(route, size.sizeClass())).record(workMs);
    }

    private Average average(Key key) {
        return mAverages.computeIfAbsent(key, k -> new Average());
    }

    /**
     * Returns the work of a request; null when it declares no tokens or no request of its route has
     * ended.
     */
    public @Nullable Estimate estimate(String route, RequestSize size) {
        Average whole = mAverages.get(new Key(route, WHOLE_ROUTE));
        if (!size.isDeclared() || whole == null) {
            return null;
        }
        Average alike = mAverages.get(new Key(route, size.sizeClass()));
        if (alike == null) {
            return new Estimate(whole.mMeanMs, whole.mDeviationMs);
        }
        double weight = alike.mCount / (alike.mCount + ROUTE_WEIGHT);
        return new Estimate(
                weight * alike.mMeanMs + (1 - weight) * whole.mMeanMs,
                weight * alike.mDeviationMs + (1 - weight) * whole.mDeviationMs);
    }
}
