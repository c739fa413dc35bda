package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;

/**
 * Estimates since when a request that is read now may have been waiting. While the event loop of an
 * overloaded host is busy, requests wait unread in their connections, and the time that their
 * callers grant has already begun. Confined to the event loop.
 */
public final class EventLoopLag {
    private static final long TICK_MS = 50;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(TICK_MS);

    private final Vertx mVertx;
    private final Ticker mTicker;
    private long mLastTickAt;

    /** Creates a measurement that counts the event loop as idle until it is started. */
    public EventLoopLag(Vertx vertx, Ticker ticker) {
        mVertx = vertx;
        mTicker = ticker;
        mLastTickAt = Long.MIN_VALUE;
    }

    /** Starts the measurement. */
    void start() {
        recordTick();
        mVertx.setPeriodic(TICK_MS, t -> recordTick());
    }

    /** Records that the event loop runs its timers. */
    void recordTick() {
        mLastTickAt = mTicker.nanoTime();
    }

    /**
     * Returns the earliest time at which a request that is read now can have arrived, a reading of
     * the monotonic clock in nanoseconds. A request that arrived while the event loop ran its
     * timers on time was read at once.
     */
    long earliestArrival() {
        long now = mTicker.nanoTime();
        if (mLastTickAt == Long.MIN_VALUE) {
            return now;
        }
        long onTimeUntil = mLastTickAt + TICK_NANOS;
        return onTimeUntil - now < 0 ? onTimeUntil : now;
    }
}
