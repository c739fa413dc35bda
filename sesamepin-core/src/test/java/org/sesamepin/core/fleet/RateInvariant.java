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
    private static final double NANOS = 1e9;

    private static final class Level {
        private double mTokens;
        private long mAt;
        private double mWorst;

        Level(double tokens) {
            mTokens = tokens;
            mWorst = tokens;
        }
    }

    private final Map<String, Level> mLevels = new HashMap<>();

    /** Notes an admission; returns false when it breaks the promise. */
    boolean admitted(Customer customer, double cost, long now) {
        Level level = mLevels.computeIfAbsent(customer.name(), n -> new Level(customer.burst()));
        double refill = customer.rate() * (now - level.mAt) / NANOS;
        level.mTokens = Math.min(customer.burst(), level.mTokens + refill) - cost;
        level.mAt = now;
        level.mWorst = Math.min(level.mWorst, level.mTokens);
        return level.mTokens >= -TOLERANCE;
    }

    /** Returns the lowest level seen; below zero the promise was broken by so many admissions. */
    double worst() {
        return mLevels.values().stream().mapToDouble(l -> l.mWorst).min().orElse(0);
    }
}
