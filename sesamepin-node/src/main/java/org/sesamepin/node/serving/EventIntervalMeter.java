package org.sesamepin.node.serving;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/** Measures the mean time between the events of one stream. */
final class EventIntervalMeter {
    /** Fewer events say little, since a target may send its first ones together. */
    private static final int MIN_EVENTS = 6;

    private long mFirstAt;
    private long mLastAt;
    private int mEvents;
    private boolean mPaused;

    /** Notes an event at the reading {@code now} of the monotonic clock. */
    void recordEvent(long now) {
        if (mEvents == 0) {
            mFirstAt = now;
        }
        mLastAt = now;
        mEvents++;
    }

    /** Notes that this host held the stream up itself. */
    void recordPause() {
        mPaused = true;
    }

    /** Returns the mean time, milliseconds; empty when the stream does not tell the speed. */
    OptionalDouble meanMs() {
        if (mPaused || mEvents < MIN_EVENTS) {
            return OptionalDouble.empty();
        }
        double nanos = (double) (mLastAt - mFirstAt) / (mEvents - 1);
        return OptionalDouble.of(nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
}
