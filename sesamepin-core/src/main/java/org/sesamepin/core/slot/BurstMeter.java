package org.sesamepin.core.slot;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sliding-window maximum of the slots in use by online requests. A sample is dropped once a later
 * one is at least as large, so the first sample is the maximum of the window.
 */
final class BurstMeter {
    private record Sample(int inUse, long recordedAt) {}

    private final long mWindowNanos;
    private final Deque<Sample> mDescendingSamples = new ArrayDeque<>();

    BurstMeter(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    /** Records that {@code inUse} slots are in use at {@code now}. */
    void recordInUse(int inUse, long now) {
        while (!mDescendingSamples.isEmpty() && mDescendingSamples.peekLast().inUse() <= inUse) {
            mDescendingSamples.removeLast();
        }
        mDescendingSamples.addLast(new Sample(inUse, now));
        removeExpired(now);
    }

    /** Returns by how many slots the maximum of the window exceeds {@code inUse}; at least 0. */
    int peakAbove(int inUse, long now) {
        removeExpired(now);
        return mDescendingSamples.isEmpty()
                ? 0
                : Math.max(0, mDescendingSamples.peekFirst().inUse() - inUse);
    }

    private void removeExpired(long now) {
        while (mDescendingSamples.size() > 1
                && now - mDescendingSamples.peekFirst().recordedAt() > mWindowNanos) {
            mDescendingSamples.removeFirst();
        }
    }
}
