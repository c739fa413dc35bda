package org.sesamepin.core.limit;

import java.util.concurrent.TimeUnit;

/** Exponentially weighted rate of demand, tokens per second. Thread-safe. */
public final class DemandMeter {
    private static final double TIME_CONSTANT_SECONDS = 0.5;

    private double mPerSecond;
    private long mLastAt;

    /** Creates a meter that starts at rest. */
    public DemandMeter(long now) {
        mLastAt = now;
    }

    /** Counts a demand of {@code tokens}. */
    public synchronized void count(double tokens, long now) {
        decay(now);
        mPerSecond += tokens / TIME_CONSTANT_SECONDS;
    }

    /** Returns the present rate. */
    public synchronized double perSecond(long now) {
        decay(now);
        return mPerSecond;
    }

    private void decay(long now) {
        double seconds = (double) (now - mLastAt) / TimeUnit.SECONDS.toNanos(1);
        if (seconds > 0) {
            mPerSecond *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
            mLastAt = now;
        }
    }
}
