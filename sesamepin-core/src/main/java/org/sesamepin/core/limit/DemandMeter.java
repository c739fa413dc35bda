package org.sesamepin.core.limit;

import java.util.concurrent.TimeUnit;

/** Exponentially weighted moving average of the demand, in tokens per second. Thread-safe. */
public final class DemandMeter {
    private static final double TIME_CONSTANT_SECONDS = 0.5;

    private double mTokensPerSecond;
    private long mUpdatedAt;

    /** Creates a meter that has seen no demand until {@code now}. */
    public DemandMeter(long now) {
        mUpdatedAt = now;
    }

    /** Counts a demand of {@code tokens}. */
    public synchronized void count(double tokens, long now) {
        decay(now);
        mTokensPerSecond += tokens / TIME_CONSTANT_SECONDS;
    }

    /** Returns the average demand at {@code now}, in tokens per second. */
    public synchronized double tokensPerSecond(long now) {
        decay(now);
        return mTokensPerSecond;
    }

    private void decay(long now) {
        double seconds = (double) (now - mUpdatedAt) / TimeUnit.SECONDS.toNanos(1);
        if (seconds > 0) {
            mTokensPerSecond *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
            mUpdatedAt = now;
        }
    }
}
