package org.sesamepin.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * One host's part of a customer's rate. Each host fills a bucket of its own with its share of the
 * rate, and hosts lend each other tokens: what is lent leaves the lender's bucket, so that all
 * hosts together never hold more than the customer's rate and burst, whichever of them are cut off.
 * Lent tokens lapse soon, since the lender's bucket fills again meanwhile. Not thread-safe.
 */
public final class LendingTokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LOAN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final double INITIAL_PART = 0.5;

    private double mLevel;
    private double mBorrowed;
    private long mBorrowedAt;
    private long mAdvancedAt;

    /**
     * Creates a bucket that holds half of this host's share of the burst: what a former process of
     * the host spent is not known.
     */
    public LendingTokenBucket(double burst, long now) {
        mLevel = burst * INITIAL_PART;
        mAdvancedAt = now;
        mBorrowedAt = now;
    }

    /**
     * Brings the bucket up to date.
     *
     * @param rate this host's share of the rate, tokens a second
     * @param burst this host's share of the burst, tokens
     */
    public void refill(double rate, double burst, long now) {
        double filled = mLevel + rate * (now - mAdvancedAt) / NANOS_PER_SECOND;
        mLevel = Math.min(filled, Math.max(1, burst));
        mAdvancedAt = now;
        if (now - mBorrowedAt >= LOAN_NANOS) {
            mBorrowed = 0;
        }
    }

    /** Takes a token after {@link #refill}; false when there is none. */
    public boolean take() {
        if (mBorrowed >= 1) {
            mBorrowed--;
            return true;
        }
        if (mLevel + mBorrowed >= 1) {
            mLevel -= 1 - mBorrowed;
            mBorrowed = 0;
            return true;
        }
        return false;
    }

    /** Gives up at most {@code wanted} tokens to another host; returns how many. */
    public double lend(double wanted) {
        double lent = Math.max(0, Math.min(wanted, mLevel));
        mLevel -= lent;
        return lent;
    }

    /** Takes in tokens of another host. */
    public void addLoan(double tokens, long now) {
        mBorrowed += tokens;
        mBorrowedAt = now;
    }

    /** Returns the time until the share alone yields a token, nanoseconds. */
    public long nanosUntilToken(double rate) {
        if (rate <= 0) {
            return TimeUnit.SECONDS.toNanos(1);
        }
        double missing = Math.max(0, 1 - mLevel - mBorrowed);
        return (long) (missing / rate * NANOS_PER_SECOND);
    }
}
