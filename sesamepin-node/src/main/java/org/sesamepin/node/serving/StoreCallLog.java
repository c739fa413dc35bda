package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the calls of this host to the store by purpose, and logs the counts at regular intervals.
 * Confined to the event loop.
 */
final class StoreCallLog implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StoreCallLog.class);
    private static final long LOG_INTERVAL_MS = TimeUnit.SECONDS.toMillis(10);

    private final Vertx mVertx;
    private final ServingMetrics mMetrics;
    private final Map<StoreCallPurpose, Long> mCounts = new EnumMap<>(StoreCallPurpose.class);
    private long mTimer;

    StoreCallLog(Vertx vertx, ServingMetrics metrics) {
        mVertx = vertx;
        mMetrics = metrics;
    }

    /** Starts logging the counts. */
    void start() {
        mTimer = mVertx.setPeriodic(LOG_INTERVAL_MS, t -> logCounts());
    }

    /** Counts a call that was sent. */
    void recordSent(StoreCallPurpose purpose) {
        mCounts.merge(purpose, 1L, Long::sum);
    }

    /** Counts the end of a call. */
    void recordEnd(StoreCallPurpose purpose, String kind, boolean succeeded) {
        mMetrics.countStoreCall(purpose.label(), kind, succeeded ? "answered" : "failed");
    }

    private void logCounts() {
        if (mCounts.isEmpty()) {
            return;
        }
        String counts =
                mCounts.entrySet().stream()
                        .map(entry -> entry.getKey().label() + "=" + entry.getValue())
                        .collect(Collectors.joining(" "));
        LOG.info("step=store-calls seconds={} {}", LOG_INTERVAL_MS / 1_000, counts);
        mCounts.clear();
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
