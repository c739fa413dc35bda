package org.sesamepin.node.serving;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamepin.core.time.Ticker;

/**
 * Limits how often a host asks the store for the next changes below a prefix, so that the calls of
 * a fleet do not grow with its hosts times its changes. A few changes in a row are taken at once; a
 * steady flow of them is taken in batches. Not thread-safe.
 */
public final class WatchRateLimiter {
    private static final double BURST = 4;

    private final Ticker mTicker;
    private final LongSupplier mIntervalMs;
    private double mCalls = BURST;
    private long mRefilledAt;

    /**
     * Creates a pace.
     *
     * @param intervalMs time between two calls in a steady flow, milliseconds; 0 for no limit
     */
    public WatchRateLimiter(Ticker ticker, LongSupplier intervalMs) {
        mTicker = ticker;
        mIntervalMs = intervalMs;
        mRefilledAt = ticker.nanoTime();
    }

    /** Counts a call and returns how long it has to wait, milliseconds. */
    long nextPauseMs() {
        long intervalMs = mIntervalMs.getAsLong();
        if (intervalMs <= 0) {
            return 0;
        }
        long now = mTicker.nanoTime();
        double elapsed = (double) (now - mRefilledAt) / TimeUnit.MILLISECONDS.toNanos(intervalMs);
        mCalls = Math.min(BURST, mCalls + elapsed) - 1;
        mRefilledAt = now;
        return mCalls >= 0 ? 0 : Math.round(-mCalls * intervalMs);
    }
}
