package org.sesamepin.core.target;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of a request by how full the targets are, as far as this host knows. Answers
 * the load of pulses that nearly fill all targets: each request goes where the fewest requests wait
 * before it, and batch items only where a slot is left.
 */
public final class TargetSelector {
    /**
     * A choice.
     *
     * @param target the target
     * @param occupancy requests of all hosts at the target, for each of its slots
     */
    public record Choice(TargetInstance target, double occupancy) {}

    private static final double REMOTE_DOMAIN_COST = 0.04;
    private static final double JITTER = 0.03;
    private static final double SUSPENDED_COST = 1_000;

    private final Function<TargetInstance, TargetLoad> mLoads;
    private final String mOwnDomain;
    private final RandomGenerator mRandom;

    /** Creates a placement that looks up loads in {@code loads}. */
    public TargetSelector(
            Function<TargetInstance, TargetLoad> loads, String ownDomain, RandomGenerator random) {
        mLoads = loads;
        mOwnDomain = ownDomain;
        mRandom = random;
    }

    /** Returns the least occupied target that is not in {@code tried}, or null. */
    public @Nullable Choice selectForOnline(
            List<TargetInstance> targets, Set<String> tried, long now) {
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        double fastest = fastestEventMs(targets);
        for (TargetInstance target : targets) {
            if (tried.contains(target.incarnation())) {
                continue;
            }
            TargetLoad load = mLoads.apply(target);
            double occupancy = (double) load.inFlight() / Math.max(1, target.slots());
            double cost = cost(target, load, occupancy, now) * slowness(load, fastest);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(target, occupancy);
            }
        }
        return best;
    }

    private double fastestEventMs(List<TargetInstance> targets) {
        double fastest = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            double eventMs = mLoads.apply(target).eventIntervalMs();
            fastest = eventMs > 0 ? Math.min(fastest, eventMs) : fastest;
        }
        return fastest;
    }

    private static double slowness(TargetLoad load, double fastest) {
        return load.eventIntervalMs() > 0 ? load.eventIntervalMs() / fastest : 1;
    }

    private double cost(TargetInstance target, TargetLoad load, double occupancy, long now) {
        double cost = 1 + occupancy + JITTER * mRandom.nextDouble();
        if (!target.failureDomain().equals(mOwnDomain)) {
            cost += REMOTE_DOMAIN_COST;
        }
        return load.isBackingOff(now) ? cost + SUSPENDED_COST : cost;
    }

    /**
     * Returns the target for a batch item: the least occupied one that keeps {@code reserve} slots
     * free beside the item, or null.
     */
    public @Nullable Choice selectForBatch(
            List<TargetInstance> targets, Set<String> tried, int reserve, long now) {
        Choice best = null;
        for (TargetInstance target : targets) {
            TargetLoad load = mLoads.apply(target);
            boolean room = load.inFlight() + reserve < target.slots();
            if (!room || load.isBackingOff(now) || tried.contains(target.incarnation())) {
                continue;
            }
            double occupancy = (double) load.inFlight() / Math.max(1, target.slots());
            if (best == null || occupancy < best.occupancy()) {
                best = new Choice(target, occupancy);
            }
        }
        return best;
    }

    /** Returns the fullest target on which this host runs a batch item that could give way. */
    public @Nullable TargetInstance selectForPreemption(List<TargetInstance> targets, long now) {
        TargetInstance best = null;
        int most = 0;
        for (TargetInstance target : targets) {
            TargetLoad load = mLoads.apply(target);
            if (load.ownBatchInFlight() > most && !load.isBackingOff(now)) {
                most = load.ownBatchInFlight();
                best = target;
            }
        }
        return best;
    }
}
