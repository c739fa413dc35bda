package org.sesamepin.core.fleet;

import java.util.function.LongSupplier;
import org.sesamepin.core.time.Ticker;

/** Clock of a simulated host: the virtual time with an offset and a rate of its own. */
final class SimulatedClock implements Ticker {
    private final LongSupplier mNow;
    private final long mOffset;
    private final double mRate;

    SimulatedClock(LongSupplier now, long offset, double rate) {
        mNow = now;
        mOffset = offset;
        mRate = rate;
    }

    @Override
    public long nanoTime() {
        return mOffset + (long) (mNow.getAsLong() * mRate);
    }
}
