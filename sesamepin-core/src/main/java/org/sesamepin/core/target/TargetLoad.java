package org.sesamepin.core.target;

import java.util.concurrent.TimeUnit;

/**
 * Load and health of one incarnation of a target as this host knows them: the requests of this
 * host, those that the other hosts reported, and recent failures. Not thread-safe.
 */
public final class TargetLoad {
    private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /** Silence within one request after which a target counts as failing. */
    private static final long FAILED_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Number of requests without a response between them whose silence counts as a failure. */
    private static final int FAILED_SILENT_REQUESTS = 2;

    private static final double EVENT_INTERVAL_GAIN = 0.2;

    private int mOnline;
    private int mBatch;
    private int mPeerOnline;
    private int mPeerBatch;
    private int mConsecutiveFailures;
    private int mSilentRequests;
    private long mBackOffUntil;
    private boolean mBackingOff;
    private double mMeanEventIntervalMs;

    /** Records that this host sends a request or, if {@code batch}, a batch item. */
    public void recordStart(boolean batch) {
        if (batch) {
            mBatch++;
        } else {
            mOnline++;
        }
    }

    /** Records the end of a request or, if {@code batch}, a batch item of this host. */
    public void recordEnd(boolean batch) {
        if (batch) {
            mBatch--;
        } else {
            mOnline--;
        }
    }

    /** Sets the numbers of requests and batch items that the other hosts have in flight. */
    public void setPeerRequests(int online, int batch) {
        mPeerOnline = online;
        mPeerBatch = batch;
    }

    /** Records a successful response; ends the back-off. */
    public void recordSuccess() {
        mConsecutiveFailures = 0;
        mSilentRequests = 0;
        mBackingOff = false;
    }

    /**
     * Records a failure. The target is avoided for a back-off time that doubles with each
     * consecutive failure, up to a limit.
     */
    public void recordFailure(long now) {
        int doublings = Math.min(mConsecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        mConsecutiveFailures++;
        mBackingOff = true;
        mBackOffUntil = now + (FIRST_BACKOFF_NANOS << doublings);
    }

    /**
     * Records that a request was taken elsewhere while the target was silent. That is a failure
     * only after a long silence, or when it happens to several requests.
     *
     * @param silenceNanos how long the target had been silent within the request
     */
    public void recordSilence(long now, long silenceNanos) {
        mSilentRequests++;
        if (silenceNanos >= FAILED_SILENCE_NANOS || mSilentRequests >= FAILED_SILENT_REQUESTS) {
            recordFailure(now);
        }
    }

    /** Returns whether the target is to be avoided because of recent failures. */
    public boolean isBackingOff(long now) {
        return mBackingOff && now - mBackOffUntil < 0;
    }

    /** Records the mean time between two events of a stream, milliseconds, as a moving average. */
    public void recordEventInterval(double intervalMs) {
        mMeanEventIntervalMs =
                mMeanEventIntervalMs == 0
                        ? intervalMs
                        : mMeanEventIntervalMs
                                + EVENT_INTERVAL_GAIN * (intervalMs - mMeanEventIntervalMs);
    }

    /** Returns the mean time between two events of a stream, milliseconds; 0 when not measured. */
    public double eventIntervalMs() {
        return mMeanEventIntervalMs;
    }

    /** Returns the number of requests in flight of all hosts. */
    public int inFlight() {
        return mOnline + mBatch + mPeerOnline + mPeerBatch;
    }

    /** Returns the number of batch items in flight of this host. */
    public int ownBatchInFlight() {
        return mBatch;
    }

    /** Returns the number of online requests in flight of this host. */
    public int ownOnlineInFlight() {
        return mOnline;
    }

    /** Returns the number of batch items in flight of all hosts. */
    public int batchInFlight() {
        return mBatch + mPeerBatch;
    }

    /** Returns the number of online requests in flight of all hosts. */
    public int onlineInFlight() {
        return mOnline + mPeerOnline;
    }
}
