package org.sesamepin.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket for one host's share of a customer's rate, with loans between hosts. Each host
 * refills its own bucket with its share of the rate, and hosts lend tokens to each other. Lent
 * tokens are removed from the lender's bucket, so that all hosts together never hold more than the
 * customer's rate and burst, whichever hosts are partitioned from each other. Loans expire soon,
 * since the lender's bucket refills in the meantime. Not thread-safe.
 */
public final class LendingTokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LOAN_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final double INITIAL_BURST_FRACTION = 0.5;

    private double mTokens;
    private double mBorrowedTokens;
    private long mBorrowedAt;
    private long mRefilledAt;

    /**
     * Creates a bucket that holds half of this host's share of the burst, since it is not known how
     * much of it a former process of this host has spent.
     *
     * @param burst this host's share of the burst, in tokens
     */
    public LendingTokenBucket(double burst, long now) {
        mTokens = burst * INITIAL_BURST_FRACTION;
        mRefilledAt = now;
        mBorrowedAt = now;
    }

    /**
     * Refills the bucket up to {@code now} and discards expired loans.
     *
     * @param rate this host's share of the rate, in tokens per second
     * @param burst this host's share of the burst, in tokens
     */
    public void refill(double rate, double burst, long now) {
        double filled = mTokens + rate * (now - mRefilledAt) / NANOS_PER_SECOND;
        mTokens = Math.min(filled, Math.max(1, burst));
        mRefilledAt = now;
        if (now - mBorrowedAt >= LOAN_TTL_NANOS) {
            mBorrowedTokens = 0;
        }
    }

    /** Takes a token; returns false if there is none. Call {@link #refill} before. */
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

    /** Removes up to {@code wanted} tokens to lend them to another host; returns how many. */
    public double lend(double wanted) {
        double lent = Math.max(0, Math.min(wanted, mTokens));
        mTokens -= lent;
        return lent;
    }

    /** Adds tokens that another host lent. */
    public void addLoan(double tokens, long now) {
        mBorrowedTokens += tokens;
        mBorrowedAt = now;
    }

    /** Returns how long it takes until the bucket has a token without further loans, in ns. */
    public long nanosUntilToken(double rate) {
        if (rate <= 0) {
            return TimeUnit.SECONDS.toNanos(1);
        }
        double missing = Math.max(0, 1 - mTokens - mBorrowedTokens);
        return (long) (missing / rate * NANOS_PER_SECOND);
    }
}
