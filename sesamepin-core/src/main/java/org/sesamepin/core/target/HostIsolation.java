package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this host, and not the targets, is cut off: it is when it cannot connect to
 * several targets that its peers reach, and to no other one. A target that no peer reaches either
 * is failing itself. Where no peer can tell, targets that are silent count against the path, and
 * those that refuse connections do not: refusals show that an address is reached. Only new
 * connections count: an old one may live on while new ones are refused, and a late response says
 * nothing about the path. Not thread-safe.
 */
public final class HostIsolation {
    private static final long FAILURE_TTL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A target that a peer reaches later than this may have been started again meanwhile. */
    private static final long COMPARABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Longer than the longest back-off of a failing target. */
    private static final long UNREACHABLE_TTL_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Fewer targets may be out of reach for reasons of their own. */
    private static final int MIN_FAILED_TARGETS = 3;

    private static final int MIN_REGISTERED_TARGETS = 2;

    /** Time of the last failed connection to each target since a target was reached. */
    private final Map<String, Long> mFailedAt = new HashMap<>();

    /** Those of the failed targets that did not answer at all. */
    private final Set<String> mSilent = new HashSet<>();

    /** Those of the failed targets that count against the path. */
    private final Set<String> mAgainstPath = new HashSet<>();

    /** When a peer found that it cannot reach a target either. */
    private final Map<String, Long> mUnreachableAt = new HashMap<>();

    private boolean mReached;
    private long mReachedAt;
    private boolean mIsolated;

    /**
     * Records that a direct connection to a target was made.
     *
     * @param now reading of the monotonic clock, nanoseconds
     * @return whether that ends an isolation
     */
    public boolean recordConnected(long now) {
        boolean wasIsolated = mIsolated;
        mIsolated = false;
        mReached = true;
        mReachedAt = now;
        mFailedAt.clear();
        mSilent.clear();
        mAgainstPath.clear();
        return wasIsolated;
    }

    /**
     * Records that a direct connection to a target failed.
     *
     * @param target incarnation of the target
     * @param now reading of the monotonic clock, nanoseconds
     */
    public void recordFailed(String target, long now) {
        removeOld(now);
        mFailedAt.put(target, now);
        mSilent.remove(target);
    }

    /** Records that a direct connection to a target was neither made nor refused in time. */
    public void recordSilent(String target, long now) {
        removeOld(now);
        mFailedAt.put(target, now);
        mSilent.add(target);
    }

    /** Records that a peer connected to a target just now. */
    public void recordReachedByPeer(String target, long now) {
        removeOld(now);
        mUnreachableAt.remove(target);
        Long failedAt = mFailedAt.get(target);
        if (failedAt != null && now - failedAt <= COMPARABLE_NANOS) {
            mAgainstPath.add(target);
        }
    }

    /** Records that no peer can tell whether a target is failing. */
    public void recordUnknownToPeers(String target, long now) {
        removeOld(now);
        if (mSilent.contains(target)) {
            mAgainstPath.add(target);
        }
    }

    /** Records that a peer that reaches other targets cannot connect to a target. */
    public void recordUnreachableFromPeer(String target, long now) {
        removeOld(now);
        mFailedAt.remove(target);
        mSilent.remove(target);
        mAgainstPath.remove(target);
        mUnreachableAt.put(target, now);
    }

    private void removeOld(long now) {
        mFailedAt.values().removeIf(at -> now - at > FAILURE_TTL_NANOS);
        mSilent.retainAll(mFailedAt.keySet());
        mAgainstPath.retainAll(mFailedAt.keySet());
        mUnreachableAt.values().removeIf(at -> now - at > UNREACHABLE_TTL_NANOS);
    }

    /**
     * Decides whether this host is isolated. To be called when the connections to some more targets
     * have failed.
     *
     * @param registeredTargets number of registered targets
     * @return whether the host is isolated from now on and was not before
     */
    public boolean judge(int registeredTargets, long now) {
        removeOld(now);
        if (mIsolated || mAgainstPath.size() < neededTargets(registeredTargets)) {
            return false;
        }
        mIsolated = true;
        return true;
    }

    private static int neededTargets(int registeredTargets) {
        return Math.max(MIN_REGISTERED_TARGETS, Math.min(MIN_FAILED_TARGETS, registeredTargets));
    }

    /** Returns whether this host is cut off from the targets. */
    public boolean isIsolated() {
        return mIsolated;
    }

    /**
     * Returns whether several targets failed and none was reached since, so that either they or
     * this host's path fail.
     */
    public boolean isSuspect(int registeredTargets, long now) {
        removeOld(now);
        return mIsolated || mFailedAt.size() >= neededTargets(registeredTargets);
    }

    /** Returns whether a direct connection was made at a moment or later. */
    public boolean wasConnectedSince(long moment) {
        return mReached && mReachedAt - moment >= 0;
    }

    /** Returns failed targets about which peers are to be asked, as many as are missing. */
    public List<String> targetsToCompare(int registeredTargets, long now) {
        removeOld(now);
        int missing = neededTargets(registeredTargets) - mAgainstPath.size();
        return mFailedAt.keySet().stream()
                .filter(target -> !mAgainstPath.contains(target))
                .limit(Math.max(0, missing))
                .toList();
    }

    /** Returns the targets that a peer was not able to reach either, a short time ago. */
    public Set<String> unreachableTargets(long now) {
        removeOld(now);
        return Set.copyOf(mUnreachableAt.keySet());
    }
}
