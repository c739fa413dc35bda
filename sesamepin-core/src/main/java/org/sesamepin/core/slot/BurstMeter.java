package org.sesamepin.core.slot;

import java.util.ArrayDeque;
import java.util.Deque;

/** Largest number of slots that online requests had in use at once within a window of time. */
final class BurstMeter {
    private record Sample(int inUse, long at) {}

    private final long mWindowNanos;
    private final Deque<Sample> mDescending = new ArrayDeque<>();

    BurstMeter(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    /** Notes that {@code inUse} slots are in use at {@code now}. */
    void inUse(int inUse, long now) {
        while (!mDescending.isEmpty() && mDescending.peekLast().inUse() <= inUse) {
            mDescending.removeLast();
        }
        mDescending.addLast(new Sample(inUse, now));
        dropOld(now);
    }

    /** Returns by how much the peak in the window exceeds {@code inUse}. */
    int peakAbove(int inUse, long now) {
        dropOld(now);
        return mDescending.isEmpty() ? 0 : Math.max(0, mDescending.peekFirst().inUse() - inUse);
    }

    private void dropOld(long now) {
        while (mDescending.size() > 1 && now - mDescending.peekFirst().at() > mWindowNanos) {
            mDescending.removeFirst();
        }
    }
}
