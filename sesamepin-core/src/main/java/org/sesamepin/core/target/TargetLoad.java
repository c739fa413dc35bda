package org.sesamepin.core.target;

import java.util.concurrent.TimeUnit;

/**
 * What this host knows about the load and the health of one incarnation of a target: its own
 * requests, those of the other hosts as they reported them, and recent failures. Not thread-safe.
 */
public final class TargetLoad {
    private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final double EVENT_INTERVAL_GAIN = 0.2;

    private int mOnline;
    private int mBatch;
    private int mPeerOnline;
    private int mPeerBatch;
    private int mConsecutiveFailures;
    private long mBackOffUntil;
    private boolean mBackingOff;
    private double mMeanEventIntervalMs;

    /** Notes that this host sends a request. */
    public void started(boolean batch) {
        if (batch) {
            mBatch++;
        } else {
            mOnline++;
        }
    }

    /** Notes that a request of this host has ended. */
    public void ended(boolean batch) {
        if (batch) {
            mBatch--;
        } else {
            mOnline--;
        }
    }

    /** Replaces what the other hosts have in flight. */
    public void setPeers(int online, int batch) {
        mPeerOnline = online;
        mPeerBatch = batch;
    }

    /** Notes a good answer. */
    public void succeeded() {
        mConsecutiveFailures = 0;
        mBackingOff = false;
    }

    /** Notes a failure: the target is avoided for a while that doubles with each one in a row. */
    public void failed(long now) {
        int doublings = Math.min(mConsecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        mConsecutiveFailures++;
        mBackingOff = true;
        mBackOffUntil = now + (FIRST_BACKOFF_NANOS << doublings);
    }

    /** Tells whether the target is to be avoided. */
    public boolean isSuspended(long now) {
        return mBackingOff && now - mBackOffUntil < 0;
    }

    /** Takes in the mean time between two events of a stream, milliseconds. */
    public void observeEventMs(double eventMs) {
        mMeanEventIntervalMs =
                mMeanEventIntervalMs == 0
                        ? eventMs
                        : mMeanEventIntervalMs
                                + EVENT_INTERVAL_GAIN * (eventMs - mMeanEventIntervalMs);
    }

    /** Returns the mean time between two events of a stream, milliseconds; 0 when not known. */
    public double eventMs() {
        return mMeanEventIntervalMs;
    }

    /** Returns the requests in flight from all hosts. */
    public int inFlight() {
        return mOnline + mBatch + mPeerOnline + mPeerBatch;
    }

    /** Returns the batch items in flight from this host. */
    public int ownBatch() {
        return mBatch;
    }

    /** Returns the online requests in flight from this host. */
    public int ownOnline() {
        return mOnline;
    }

    /** Returns the batch items in flight from all hosts. */
    public int batch() {
        return mBatch + mPeerBatch;
    }

    /** Returns the online requests in flight from all hosts. */
    public int online() {
        return mOnline + mPeerOnline;
    }
}
