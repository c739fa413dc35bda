package org.sesamepin.node.serving;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/** Measures the mean time between the events of one stream. */
final class EventIntervalMeter {
    /**
     * With fewer events the mean says little, since a target may send its first events together.
     */
    private static final int MIN_EVENTS = 6;

    private long mFirstAt;
    private long mLastAt;
    private int mEvents;
    private boolean mPaused;

    /** Records an event at the reading {@code now} of the monotonic clock, nanoseconds. */
    void recordEvent(long now) {
        if (mEvents == 0) {
            mFirstAt = now;
        }
        mLastAt = now;
        mEvents++;
    }

    /**
     * Records that this host paused the stream, so that the intervals no longer show the target's
     * speed.
     */
    void recordPause() {
        mPaused = true;
    }

    /**
     * Returns the mean time between two events, milliseconds; empty when there were too few events
     * or the stream was paused.
     */
    OptionalDouble meanMs() {
        if (mPaused || mEvents < MIN_EVENTS) {
            return OptionalDouble.empty();
        }
        double nanos = (double) (mLastAt - mFirstAt) / (mEvents - 1);
        return OptionalDouble.of(nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
}
