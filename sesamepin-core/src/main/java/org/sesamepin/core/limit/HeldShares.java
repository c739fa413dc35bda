package org.sesamepin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Shares of a rate group that other holders have delegated to this host, each until a time on this
 * host's monotonic clock. Not thread-safe.
 */
final class HeldShares {
    private record Share(double fraction, long until) {}

    private final Map<String, Share> mShares = new HashMap<>();

    /** Adds or renews the share of {@code holder}; never shortens its validity. */
    void put(String holder, double fraction, long until) {
        Share previous = mShares.get(holder);
        boolean isNewer = previous == null || until - previous.until() > 0;
        if (isNewer) {
            mShares.put(holder, new Share(fraction, until));
        }
    }

    boolean contains(String holder) {
        return mShares.containsKey(holder);
    }

    Set<String> holders() {
        return Set.copyOf(mShares.keySet());
    }

    /** Returns the sum of the fractions. */
    double sum() {
        double sum = 0;
        for (Share share : mShares.values()) {
            sum += share.fraction();
        }
        return sum;
    }

    /** Returns when the first share expires, at the latest {@code latest}. */
    long firstExpiry(long latest) {
        long first = latest;
        for (Share share : mShares.values()) {
            first = share.until() - first < 0 ? share.until() : first;
        }
        return first;
    }

    /** Removes the shares that have expired at {@code now}. */
    void expire(long now) {
        mShares.values().removeIf(share -> now - share.until() >= 0);
    }

    void clear() {
        mShares.clear();
    }
}
