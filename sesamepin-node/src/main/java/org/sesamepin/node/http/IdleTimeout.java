package org.sesamepin.node.http;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;

/**
 * Runs an action when no progress was recorded for a time, and then not before further progress.
 * Confined to the event loop.
 *
 * <p>A host that is short of processor time may need long for a large response that arrives
 * steadily, so progress rather than the total time decides.
 */
public final class IdleTimeout {
    private static final long NO_TIMER = -1;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final long mTimeoutNanos;
    private final Runnable mOnIdle;
    private final Runnable mOnProgressAfterIdle;
    private long mLastProgressAt;
    private long mTimer = NO_TIMER;
    private boolean mCancelled;
    private boolean mSuspended;
    private boolean mIdle;

    /**
     * Creates a timeout that is not started.
     *
     * @param timeoutMs longest time without progress, milliseconds; 0 for no limit
     * @param onIdle runs when that time has passed, unless the timeout was cancelled
     */
    public IdleTimeout(Vertx vertx, Ticker ticker, long timeoutMs, Runnable onIdle) {
        this(vertx, ticker, timeoutMs, onIdle, () -> {});
    }

    /**
     * Creates a timeout that is not started.
     *
     * @param timeoutMs longest time without progress, milliseconds; 0 for no limit
     * @param onIdle runs when that time has passed, unless the timeout was cancelled
     * @param onProgressAfterIdle runs at the first progress after {@code onIdle}; the time has then
     *     started anew
     */
    public IdleTimeout(
            Vertx vertx,
            Ticker ticker,
            long timeoutMs,
            Runnable onIdle,
            Runnable onProgressAfterIdle) {
        mVertx = vertx;
        mTicker = ticker;
        mTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        mOnIdle = onIdle;
        mOnProgressAfterIdle = onProgressAfterIdle;
        mLastProgressAt = ticker.nanoTime();
    }

    /** Starts to check; the time counts from the last progress, or from the creation. */
    public void start() {
        if (mTimeoutNanos > 0) {
            check();
        }
    }

    private void check() {
        if (mCancelled) {
            return;
        }
        if (mSuspended) {
            mLastProgressAt = mTicker.nanoTime();
        }
        long remainingNanos = mTimeoutNanos - (mTicker.nanoTime() - mLastProgressAt);
        if (remainingNanos <= 0) {
            mTimer = NO_TIMER;
            mIdle = true;
            mOnIdle.run();
            return;
        }
        long remainingMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        mTimer = mVertx.setTimer(remainingMs, t -> check());
    }

    /** Records progress, which starts the time anew. */
    public void recordProgress() {
        boolean wasIdle = mIdle;
        if (wasIdle) {
            restart();
        } else {
            mLastProgressAt = mTicker.nanoTime();
        }
        if (wasIdle && !mCancelled) {
            mOnProgressAfterIdle.run();
        }
    }

    /** Starts to check; the time counts from now, also after the action has run. */
    public void restart() {
        mIdle = false;
        mLastProgressAt = mTicker.nanoTime();
        start();
    }

    /** Suspends the timeout while nothing is read, or resumes it; the time then starts anew. */
    public void setSuspended(boolean suspended) {
        mSuspended = suspended;
        if (!mIdle) {
            mLastProgressAt = mTicker.nanoTime();
        }
    }

    /** Returns the time of the last progress, a reading of the monotonic clock in nanoseconds. */
    public long lastProgressAt() {
        return mLastProgressAt;
    }

    /** Cancels the timeout for good. */
    public void cancel() {
        mCancelled = true;
        if (mTimer != NO_TIMER) {
            mVertx.cancelTimer(mTimer);
            mTimer = NO_TIMER;
        }
    }
}
