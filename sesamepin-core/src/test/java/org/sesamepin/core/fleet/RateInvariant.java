package org.sesamepin.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.sesamepin.core.bundle.Customer;

/**
 * Checks that in every window of length t a customer's admissions on all hosts are at most rate * t
 * + burst: that holds exactly when a bucket that starts full never goes below zero.
 */
final class RateInvariant {
    private static final double TOLERANCE = 1e-6;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final class Bucket {
        private double mTokens;
        private long mUpdatedAt;
        private double mLowestTokens;

        Bucket(double tokens) {
            mTokens = tokens;
            mLowestTokens = tokens;
        }
    }

    private final Map<String, Bucket> mBuckets = new HashMap<>();

    /** Notes an admission; returns false when it breaks the promise. */
    boolean recordAdmission(Customer customer, double cost, long now) {
        Bucket level = mBuckets.computeIfAbsent(customer.name(), n -> new Bucket(customer.burst()));
        double refill = customer.rate() * (now - level.mUpdatedAt) / NANOS_PER_SECOND;
        level.mTokens = Math.min(customer.burst(), level.mTokens + refill) - cost;
        level.mUpdatedAt = now;
        level.mLowestTokens = Math.min(level.mLowestTokens, level.mTokens);
        return level.mTokens >= -TOLERANCE;
    }

    /** Returns the lowest level seen; below zero the promise was broken by so many admissions. */
    double lowestLevel() {
        return mBuckets.values().stream().mapToDouble(l -> l.mLowestTokens).min().orElse(0);
    }
}
