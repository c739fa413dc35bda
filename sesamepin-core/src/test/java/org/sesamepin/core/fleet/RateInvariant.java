package org.sesamepin.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.sesamepin.core.bundle.Customer;

/**
 * Checks that in every window of length t, all hosts together admit at most rate * t + burst
 * requests of a customer. This holds exactly if a bucket that starts full never falls below zero.
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

    /** Records an admission; returns false if it violates the limit. */
    boolean recordAdmission(Customer customer, double cost, long now) {
        Bucket bucket =
                mBuckets.computeIfAbsent(customer.name(), n -> new Bucket(customer.burst()));
        double refill = customer.rate() * (now - bucket.mUpdatedAt) / NANOS_PER_SECOND;
        bucket.mTokens = Math.min(customer.burst(), bucket.mTokens + refill) - cost;
        bucket.mUpdatedAt = now;
        bucket.mLowestTokens = Math.min(bucket.mLowestTokens, bucket.mTokens);
        return bucket.mTokens >= -TOLERANCE;
    }

    /** Returns the lowest level seen; a negative one is the number of admissions too many. */
    double lowestLevel() {
        return mBuckets.values().stream()
                .mapToDouble(bucket -> bucket.mLowestTokens)
                .min()
                .orElse(0);
    }
}
