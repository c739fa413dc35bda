package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this host, and not the targets, is cut off. Only new direct connections count: an
 * old one may live on while new ones are refused, and a late response says nothing about the path.
 * Not thread-safe.
 */
public final class HostIsolation {
    private static final long FAILURE_TTL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Fewer targets may have failed by themselves. */
    private static final int MIN_FAILED_TARGETS = 3;

    private static final int MIN_REGISTERED_TARGETS = 2;

    /** Time of the last failed connection to each target since a target was reached. */
    private final Map<String, Long> mFailedAt = new HashMap<>();

    private boolean mIsolated;

    /**
     * Records that a direct connection to a target was made.
     *
     * @return whether that ends an isolation
     */
    public boolean recordConnected() {
        boolean wasIsolated = mIsolated;
        mIsolated = false;
        mFailedAt.clear();
        return wasIsolated;
    }

    /**
     * Records that a direct connection to a target failed or was not made in time.
     *
     * @param target incarnation of the target
     * @param registeredTargets number of registered targets
     * @param now reading of the monotonic clock, nanoseconds
     * @return whether the host is isolated from now on and was not before
     */
    public boolean recordFailed(String target, int registeredTargets, long now) {
        mFailedAt.values().removeIf(failedAt -> now - failedAt > FAILURE_TTL_NANOS);
        mFailedAt.put(target, now);
        int needed =
                Math.max(MIN_REGISTERED_TARGETS, Math.min(MIN_FAILED_TARGETS, registeredTargets));
        boolean isolated = mFailedAt.size() >= needed;
        if (mIsolated || !isolated) {
            return false;
        }
        mIsolated = true;
        return true;
    }

    /** Returns whether this host is cut off from the targets. */
    public boolean isIsolated() {
        return mIsolated;
    }
}
