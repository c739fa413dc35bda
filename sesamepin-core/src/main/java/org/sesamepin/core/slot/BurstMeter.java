package org.sesamepin.core.slot;

import java.util.ArrayDeque;
import java.util.Deque;

/** Largest number of slots that online requests had in use at once within a window of time. */
final class BurstMeter {
    private record Sample(int inUse, long recordedAt) {}

    private final long mWindowNanos;
    private final Deque<Sample> mDescendingSamples = new ArrayDeque<>();

    BurstMeter(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    /** Notes that {@code inUse} slots are in use at {@code now}. */
    void record(int inUse, long now) {
        while (!mDescendingSamples.isEmpty() && mDescendingSamples.peekLast().inUse() <= inUse) {
            mDescendingSamples.removeLast();
        }
        mDescendingSamples.addLast(new Sample(inUse, now));
        removeExpired(now);
    }

    /** Returns by how much the peak in the window exceeds {@code inUse}. */
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
