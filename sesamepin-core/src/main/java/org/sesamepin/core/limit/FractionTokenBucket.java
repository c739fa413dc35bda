package org.sesamepin.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket of one customer at a host that holds a fraction of the customer's rate. It never
 * holds more than that fraction of the burst. Not thread-safe.
 */
final class FractionTokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Tokens of a former leader are kept until the delegations have followed them. */
    private static final long CREDIT_TTL_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Allows for rounding in a sum of fractions, which else would leave a burst of 1 unusable. */
    private static final double WHOLE_TOKEN = 1 - 1e-9;

    private final double mRate;
    private final double mBurst;
    private double mTokens;
    private double mFraction;
    private double mCredit;
    private long mCreditUntil;
    private long mRefilledAt;

    /**
     * Creates a bucket.
     *
     * @param rate the customer's whole rate, tokens per second
     * @param burst the customer's whole burst, tokens
     * @param tokens tokens that it holds at {@code now}
     */
    FractionTokenBucket(double rate, double burst, double tokens, long now) {
        mRate = rate;
        // A rate below one request per second still admits single requests.
        mBurst = Math.max(1, burst);
        mTokens = tokens;
        mRefilledAt = now;
        mCreditUntil = now;
    }

    boolean matches(double rate, double burst) {
        return mRate == rate && mBurst == Math.max(1, burst);
    }

    double tokens() {
        return mTokens;
    }

    /** Refills the bucket for the time up to {@code now}, in which {@code fraction} was held. */
    void refill(double fraction, long now) {
        if (now - mRefilledAt > 0) {
            mTokens += mRate * fraction * (now - mRefilledAt) / NANOS_PER_SECOND;
            mRefilledAt = now;
        }
        cut(fraction, now);
    }

    /** Removes the tokens above the part of the burst that {@code fraction} allows. */
    void cut(double fraction, long now) {
        mTokens = Math.min(mTokens, mBurst * fraction);
        if (now - mCreditUntil >= 0) {
            mCredit = 0;
        }
        // Credit follows the shares: used up at a lower fraction it could add to the tokens of
        // another leader that gets the remaining shares.
        useCredit(mBurst * Math.max(0, fraction - mFraction), fraction);
        mFraction = fraction;
    }

    private void useCredit(double most, double fraction) {
        double free = mBurst * fraction - mTokens;
        double used = Math.min(mCredit, Math.min(most, free));
        mTokens += used;
        mCredit -= used;
    }

    /**
     * Adds tokens that another host has removed from its bucket. Those above the cap count as soon
     * as the held fraction rises, for 3 s.
     */
    void credit(double tokens, double fraction, long now) {
        cut(fraction, now);
        mCredit = Math.min(mBurst, mCredit + Math.max(0, tokens));
        mCreditUntil = now + CREDIT_TTL_NANOS;
        useCredit(mBurst, fraction);
    }

    /** Removes and returns all tokens. */
    double drain() {
        double drained = mTokens + mCredit;
        mTokens = 0;
        mCredit = 0;
        return drained;
    }

    boolean take() {
        if (mTokens < WHOLE_TOKEN) {
            return false;
        }
        mTokens = Math.max(0, mTokens - 1);
        return true;
    }

    /** Returns the time until a token is due at {@code fraction}, in ns; at most 1 s for none. */
    long nanosUntilToken(double fraction) {
        double rate = mRate * fraction;
        if (rate <= 0) {
            return TimeUnit.SECONDS.toNanos(1);
        }
        return (long) (Math.max(0, 1 - mTokens) / rate * NANOS_PER_SECOND);
    }
}
