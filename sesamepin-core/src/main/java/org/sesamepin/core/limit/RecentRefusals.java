package org.sesamepin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Customers whose leader has just said that no token is due yet. A request that arrives before then
 * is refused without a message. All times are readings of the host's monotonic clock in
 * nanoseconds. Not thread-safe.
 */
public final class RecentRefusals {
    /** Limits the time, since the leader may change, and with it the time that it named. */
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    /** The leader spreads the time that it names by up to as much again. */
    private static final int SPREAD = 2;

    private final Map<String, Long> mUntilByCustomer = new HashMap<>();

    /** Records a refusal of a leader that holds most of the rate. */
    public void record(String customer, long retryAfterNanos, long now) {
        mUntilByCustomer.put(customer, now + Math.min(MAX_NANOS, retryAfterNanos / SPREAD));
    }

    /**
     * Returns the time until a token may be due, in nanoseconds; 0 if the leader is to be asked.
     */
    public long remainingNanos(String customer, long now) {
        Long until = mUntilByCustomer.get(customer);
        if (until == null) {
            return 0;
        }
        if (until - now <= 0) {
            mUntilByCustomer.remove(customer);
            return 0;
        }
        return until - now;
    }
}
