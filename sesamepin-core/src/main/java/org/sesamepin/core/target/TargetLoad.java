package org.sesamepin.core.target;

import java.util.concurrent.TimeUnit;

/**
 * What this host knows about the load and the health of one incarnation of a target: its own
 * requests, those of the other hosts as they reported them, and recent failures. Not thread-safe.
 */
public final class TargetLoad {
    private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_SUSPENSION_DOUBLINGS = 3;
    private static final double EVENT_GAIN = 0.2;

    private int mOnline;
    private int mBatch;
    private int mPeerOnline;
    private int mPeerBatch;
    private int mFailures;
    private long mSuspendedUntil;
    private boolean mSuspended;
    private double mEventMs;

    /** Notes that this host sends a request. */
    public void recordStart(boolean batch) {
        if (batch) {
            mBatch++;
        } else {
            mOnline++;
        }
    }

    /** Notes that a request of this host has ended. */
    public void recordEnd(boolean batch) {
        if (batch) {
            mBatch--;
        } else {
            mOnline--;
        }
    }

    /** Replaces what the other hosts have in flight. */
    public void setPeerRequests(int online, int batch) {
        mPeerOnline = online;
        mPeerBatch = batch;
    }

    /** Notes a good answer. */
    public void recordSuccess() {
        mFailures = 0;
        mSuspended = false;
    }

    /** Notes a failure: the target is avoided for a while that doubles with each one in a row. */
    public void recordFailure(long now) {
        int doublings = Math.min(mFailures, MAX_SUSPENSION_DOUBLINGS);
        mFailures++;
        mSuspended = true;
        mSuspendedUntil = now + (FIRST_SUSPENSION_NANOS << doublings);
    }

    /** Tells whether the target is to be avoided. */
    public boolean isBackingOff(long now) {
        return mSuspended && now - mSuspendedUntil < 0;
    }

    /** Takes in the mean time between two events of a stream, milliseconds. */
    public void recordEventInterval(double eventMs) {
        mEventMs = mEventMs == 0 ? eventMs : mEventMs + EVENT_GAIN * (eventMs - mEventMs);
    }

    /** Returns the mean time between two events of a stream, milliseconds; 0 when not known. */
    public double eventIntervalMs() {
        return mEventMs;
    }

    /** Returns the requests in flight from all hosts. */
    public int inFlight() {
        return mOnline + mBatch + mPeerOnline + mPeerBatch;
    }

    /** Returns the batch items in flight from this host. */
    public int ownBatchInFlight() {
        return mBatch;
    }

    /** Returns the online requests in flight from this host. */
    public int ownOnlineInFlight() {
        return mOnline;
    }

    /** Returns the batch items in flight from all hosts. */
    public int batchInFlight() {
        return mBatch + mPeerBatch;
    }

    /** Returns the online requests in flight from all hosts. */
    public int onlineInFlight() {
        return mOnline + mPeerOnline;
    }
}
