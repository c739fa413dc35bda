package org.sesamepin.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * One host's part of a customer's rate. Each host fills a bucket of its own with its share of the
 * rate, and hosts lend each other tokens: what is lent leaves the lender's bucket, so that all
 * hosts together never hold more than the customer's rate and burst, whichever of them are cut off.
 * Lent tokens lapse soon, since the lender's bucket fills again meanwhile. Not thread-safe.
 */
public final class SharedRate {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LOAN_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final double INITIAL_BURST_FRACTION = 0.5;

    private double mTokens;
    private double mBorrowedTokens;
    private long mBorrowedAt;
    private long mRefilledAt;

    /**
     * Creates a bucket that holds half of this host's share of the burst: what a former process of
     * the host spent is not known.
     */
    public SharedRate(double burst, long now) {
        mTokens = burst * INITIAL_BURST_FRACTION;
        mRefilledAt = now;
        mBorrowedAt = now;
    }

    /**
     * Brings the bucket up to date.
     *
     * @param rate this host's share of the rate, tokens a second
     * @param burst this host's share of the burst, tokens
     */
    public void advance(double rate, double burst, long now) {
        double filled = mTokens + rate * (now - mRefilledAt) / NANOS_PER_SECOND;
        mTokens = Math.min(filled, Math.max(1, burst));
        mRefilledAt = now;
        if (now - mBorrowedAt >= LOAN_TTL_NANOS) {
            mBorrowedTokens = 0;
        }
    }

    /** Takes a token after {@link #advance}; false when there is none. */
    public boolean take() {
        if (mBorrowedTokens >= 1) {
            mBorrowedTokens--;
            return true;
        }
        if (mTokens + mBorrowedTokens >= 1) {
            mTokens -= 1 - mBorrowedTokens;
            mBorrowedTokens = 0;
            return true;
        }
        return false;
    }

    /** Gives up at most {@code wanted} tokens to another host; returns how many. */
    public double lend(double wanted) {
        double lent = Math.max(0, Math.min(wanted, mTokens));
        mTokens -= lent;
        return lent;
    }

    /** Takes in tokens of another host. */
    public void borrow(double tokens, long now) {
        mBorrowedTokens += tokens;
        mBorrowedAt = now;
    }

    /** Returns the time until the share alone yields a token, nanoseconds. */
    public long nanosUntilToken(double rate) {
        if (rate <= 0) {
            return TimeUnit.SECONDS.toNanos(1);
        }
        double missing = Math.max(0, 1 - mTokens - mBorrowedTokens);
        return (long) (missing / rate * NANOS_PER_SECOND);
    }
}
