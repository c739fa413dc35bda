package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Token buckets from which the requests to targets with a limit are taken: by the coordinator of a
 * service for all hosts, or by one host for its share. Targets without a limit need no tokens. Not
 * thread-safe.
 */
public final class TargetRequestBuckets {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Time for which a bucket collects tokens that nothing uses, seconds. */
    private static final double BURST_S = 1;

    private static final class Bucket {
        private double mTokens;
        private long mRefilledAt;
    }

    private final TargetRateLimits mLimits;
    private final double mInitialTokens;
    private final double mMinBurst;
    private final Map<String, Bucket> mBuckets = new HashMap<>();

    private TargetRequestBuckets(TargetRateLimits limits, double initialTokens, double minBurst) {
        mLimits = limits;
        mInitialTokens = initialTokens;
        mMinBurst = minBurst;
    }

    /** Creates buckets for the requests of all hosts. */
    public static TargetRequestBuckets ofFleet(TargetRateLimits limits) {
        return new TargetRequestBuckets(limits, 1, 2);
    }

    /** Creates buckets for one host's share; they start empty, as the host may just have begun. */
    public static TargetRequestBuckets ofHost(TargetRateLimits limits) {
        return new TargetRequestBuckets(limits, 0, 1);
    }

    /**
     * Returns whether a target may get a request now.
     *
     * @param target incarnation of the target
     * @param share part of the target's limit that these buckets give out, 0 to 1
     * @param reserve tokens that have to be left for other requests
     */
    public boolean mayStart(String target, double share, double reserve, long now) {
        if (!mLimits.isLimited(target)) {
            mBuckets.remove(target);
            return true;
        }
        return share > 0 && refill(target, share, now).mTokens >= 1 + reserve;
    }

    /** Takes a token for a request, if the target has a limit. */
    public void recordStart(String target) {
        Bucket bucket = mBuckets.get(target);
        if (bucket != null) {
            bucket.mTokens -= 1;
        }
    }

    private Bucket refill(String target, double share, long now) {
        Bucket bucket = mBuckets.get(target);
        if (bucket == null) {
            bucket = new Bucket();
            bucket.mTokens = mInitialTokens;
            bucket.mRefilledAt = now;
            mBuckets.put(target, bucket);
        }
        double rate = mLimits.perS(target) * share;
        double filled = bucket.mTokens + rate * (now - bucket.mRefilledAt) / NANOS_PER_SECOND;
        // A cold target crashes under a burst that a warm one with the same limit would take.
        double burst =
                mLimits.hasColdLimit(target) ? mMinBurst : Math.max(mMinBurst, rate * BURST_S);
        bucket.mTokens = Math.min(filled, burst);
        bucket.mRefilledAt = now;
        return bucket;
    }
}
