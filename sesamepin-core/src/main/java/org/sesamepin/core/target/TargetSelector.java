package org.sesamepin.core.target;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Selects the target of a request by the occupancy of the targets, as far as this host knows it.
 * Made for bursts that nearly fill all targets: an online request goes to the target with the
 * lowest occupancy, weighted by the target's slowdown, and a batch item only to a target with a
 * free slot.
 */
public final class TargetSelector {
    /**
     * A selected target.
     *
     * @param target target to which the request goes
     * @param occupancy requests of all hosts at the target, divided by its slots
     */
    public record Choice(TargetInstance target, double occupancy) {}

    private static final double REMOTE_DOMAIN_COST = 0.04;
    private static final double JITTER_COST = 0.03;
    private static final double BACKOFF_COST = 1_000;

    private final Function<TargetInstance, TargetLoad> mLoads;
    private final String mOwnDomain;
    private final RandomGenerator mRandom;

    /** Creates a selector that looks up the load of a target in {@code loads}. */
    public TargetSelector(
            Function<TargetInstance, TargetLoad> loads, String ownDomain, RandomGenerator random) {
        mLoads = loads;
        mOwnDomain = ownDomain;
        mRandom = random;
    }

    /**
     * Returns the target of lowest cost for an online request, or null when all are in {@code
     * tried}. The cost grows with the occupancy and the slowdown of the target; a target in another
     * failure domain costs a little more, one that is backing off is a last resort.
     */
    public @Nullable Choice selectForOnline(
            List<TargetInstance> targets, Set<String> tried, long now) {
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        double shortestMs = shortestEventIntervalMs(targets);
        for (TargetInstance target : targets) {
            if (tried.contains(target.incarnation())) {
                continue;
            }
            TargetLoad load = mLoads.apply(target);
            double occupancy = (double) load.inFlight() / Math.max(1, target.slots());
            double cost = cost(target, load, occupancy, now) * slowdown(load, shortestMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(target, occupancy);
            }
        }
        return best;
    }

    private double shortestEventIntervalMs(List<TargetInstance> targets) {
        double shortestMs = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            double intervalMs = mLoads.apply(target).eventIntervalMs();
            shortestMs = intervalMs > 0 ? Math.min(shortestMs, intervalMs) : shortestMs;
        }
        return shortestMs;
    }

    private static double slowdown(TargetLoad load, double shortestMs) {
        return load.eventIntervalMs() > 0 ? load.eventIntervalMs() / shortestMs : 1;
    }

    private double cost(TargetInstance target, TargetLoad load, double occupancy, long now) {
        double cost = 1 + occupancy + JITTER_COST * mRandom.nextDouble();
        if (!target.failureDomain().equals(mOwnDomain)) {
            cost += REMOTE_DOMAIN_COST;
        }
        return load.isBackingOff(now) ? cost + BACKOFF_COST : cost;
    }

    /**
     * Returns the target for a batch item, or null: the target with the lowest occupancy that has
     * one of its {@link TargetInstance#slotsForBatch} free, is not backing off and is not in {@code
     * tried}.
     */
    public @Nullable Choice selectForBatch(
            List<TargetInstance> targets, Set<String> tried, int reserve, long now) {
        Choice best = null;
        for (TargetInstance target : targets) {
            TargetLoad load = mLoads.apply(target);
            boolean hasRoom = load.inFlight() < target.slotsForBatch(reserve);
            if (!hasRoom || load.isBackingOff(now) || tried.contains(target.incarnation())) {
                continue;
            }
            double occupancy = (double) load.inFlight() / Math.max(1, target.slots());
            if (best == null || occupancy < best.occupancy()) {
                best = new Choice(target, occupancy);
            }
        }
        return best;
    }

    /**
     * Returns the target with the most batch items of this host that could be preempted, or null.
     */
    public @Nullable TargetInstance selectForPreemption(List<TargetInstance> targets, long now) {
        TargetInstance best = null;
        int mostItems = 0;
        for (TargetInstance target : targets) {
            TargetLoad load = mLoads.apply(target);
            if (load.ownBatchInFlight() > mostItems && !load.isBackingOff(now)) {
                mostItems = load.ownBatchInFlight();
                best = target;
            }
        }
        return best;
    }
}
