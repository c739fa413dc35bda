package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * How long work takes at targets now relative to their usual time, as they name it in their
 * answers. It changes many times a second at targets that share a machine, so what an answer said
 * loses half of its weight every 500 ms. Not thread-safe.
 */
public final class TargetPaces {
    /** Stands for an answer that names no figure. */
    public static final double NONE = Double.NaN;

    private static final double HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Age at which a figure has a 64th of its weight left, and is dropped. */
    private static final long TTL_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Bounds of what a figure can do, since a target may name a wrong one. */
    private static final double MIN_FACTOR = 0.5;

    private static final double MAX_FACTOR = 4;

    /**
     * What an answer said.
     *
     * @param factor time that work takes, relative to the usual time
     * @param observedAt when the answer arrived, a reading of the monotonic clock in nanoseconds
     */
    public record Observation(double factor, long observedAt) {}

    private final Map<String, Observation> mByTarget = new HashMap<>();

    /**
     * Records what an answer of a target said, unless a newer answer is known. A figure that is no
     * positive number is ignored.
     *
     * @param target incarnation of the target
     */
    public void observe(String target, double factor, long observedAt) {
        Observation known = mByTarget.get(target);
        boolean outdated = known != null && known.observedAt() - observedAt >= 0;
        if (outdated || !(factor > 0)) {
            return;
        }
        double bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
        mByTarget.put(target, new Observation(bounded, observedAt));
    }

    /** Returns how long work takes at a target now relative to its usual time; 1 when not known. */
    public double factor(String target, long now) {
        Observation known = mByTarget.get(target);
        if (known == null) {
            return 1;
        }
        double weight = Math.pow(0.5, Math.max(0, now - known.observedAt()) / HALF_LIFE_NANOS);
        return 1 + weight * (known.factor() - 1);
    }

    /** Returns the figures that still have weight, by incarnation of the target. */
    public Map<String, Observation> observations(long now) {
        mByTarget.values().removeIf(known -> now - known.observedAt() > TTL_NANOS);
        return mByTarget;
    }

    /** Drops the targets that are not registered any more. */
    public void retain(Predicate<String> isRegistered) {
        mByTarget.keySet().removeIf(target -> !isRegistered.test(target));
    }
}
