package org.sesamepin.node.serving;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamepin.core.time.Ticker;

/**
 * Limits the rate of watch calls below one prefix of the store, since otherwise the calls of a
 * fleet grow with the number of its hosts times the number of changes. A few changes in a row are
 * read at once; frequent changes are read in batches. Not thread-safe.
 */
public final class WatchRateLimiter {
    private static final double BURST_CALLS = 4;

    private final Ticker mTicker;
    private final LongSupplier mIntervalMs;
    private double mAvailableCalls = BURST_CALLS;
    private long mRefilledAt;

    /**
     * Creates a limiter that allows a full burst.
     *
     * @param intervalMs time between two calls when changes are frequent, milliseconds; 0 for no
     *     limit
     */
    public WatchRateLimiter(Ticker ticker, LongSupplier intervalMs) {
        mTicker = ticker;
        mIntervalMs = intervalMs;
        mRefilledAt = ticker.nanoTime();
    }

    /** Counts a call and returns the delay before it may be sent, milliseconds. */
    long nextDelayMs() {
        long intervalMs = mIntervalMs.getAsLong();
        if (intervalMs <= 0) {
            return 0;
        }
        long now = mTicker.nanoTime();
        double earnedCalls =
                (double) (now - mRefilledAt) / TimeUnit.MILLISECONDS.toNanos(intervalMs);
        double available = Math.min(BURST_CALLS, mAvailableCalls + earnedCalls) - 1;
        // Calls that are sent before their time must not defer the next one without a bound.
        mAvailableCalls = Math.max(-1, available);
        mRefilledAt = now;
        return mAvailableCalls >= 0 ? 0 : Math.round(-mAvailableCalls * intervalMs);
    }
}
