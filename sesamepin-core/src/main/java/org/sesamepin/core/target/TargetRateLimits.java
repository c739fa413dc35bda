package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The requests per second that targets take from all hosts together: what they name in their
 * answers, and what they tolerate while they are cold. The newest answer that any host has got
 * counts, and holds until a newer one. Not thread-safe.
 */
public final class TargetRateLimits {
    /** Stands for an answer without a limit. */
    public static final double NO_LIMIT = -1;

    /**
     * Rate at which a target that wants no requests gets some all the same, per second, since only
     * an answer can tell that it takes requests again.
     */
    private static final double MIN_PER_S = 0.1;

    /**
     * What an answer said.
     *
     * @param perS requests per second; {@link #NO_LIMIT} when it named none
     * @param observedAt when the answer arrived, a reading of the monotonic clock in nanoseconds
     */
    public record Observation(double perS, long observedAt) {}

    private final ColdTargets mCold;
    private final Map<String, Observation> mByTarget = new HashMap<>();

    /** Creates an instance without limits whose targets are never cold. */
    public TargetRateLimits() {
        this(new ColdTargets(service -> null));
    }

    /** Creates an instance that has no limits but those of {@code coldTargets}. */
    public TargetRateLimits(ColdTargets coldTargets) {
        mCold = coldTargets;
    }

    /**
     * Records what an answer of a target said, unless a newer answer is known. A limit that is not
     * a number is ignored.
     *
     * @param target incarnation of the target
     * @return whether the limit changed
     */
    public boolean observe(String target, double perS, long observedAt) {
        Observation known = mByTarget.get(target);
        boolean outdated = known != null && known.observedAt() - observedAt >= 0;
        boolean neverLimited = known == null && perS < 0;
        if (Double.isNaN(perS) || outdated || neverLimited) {
            return false;
        }
        mByTarget.put(target, new Observation(perS, observedAt));
        return known == null || known.perS() != perS;
    }

    /** Returns whether the target names a limit, or has one because it is cold. */
    public boolean isLimited(String target) {
        return namesLimit(target) || hasColdLimit(target);
    }

    private boolean namesLimit(String target) {
        Observation known = mByTarget.get(target);
        return known != null && known.perS() >= 0;
    }

    /** Returns whether the target takes few requests because it is cold. */
    public boolean hasColdLimit(String target) {
        return Double.isFinite(mCold.perS(target));
    }

    /** Returns whether the target is cold, be its requests limited or not. */
    public boolean isCold(String target) {
        return mCold.isCold(target);
    }

    /** Returns the requests per second that a target gets; infinite without a limit. */
    public double perS(String target) {
        Observation known = mByTarget.get(target);
        if (known == null || known.perS() < 0) {
            return mCold.perS(target);
        }
        return Math.min(mCold.perS(target), Math.max(MIN_PER_S, known.perS()));
    }

    /** Returns what is known of each target that has ever named a limit, by incarnation. */
    public Map<String, Observation> observations() {
        return mByTarget;
    }

    /** Drops the targets that are not registered any more. */
    public void retain(Predicate<String> isRegistered) {
        mByTarget.keySet().removeIf(target -> !isRegistered.test(target));
    }
}
