package org.sesamepin.core.target;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the targets of one service for its coordinator. An online request goes to a free slot of
 * a target that is fast now, else to a slot that a batch item gives up, else into the queue of a
 * target where a slot is expected soon. Batch items get slots that online requests leave. Not
 * thread-safe.
 */
final class TargetChoice {
    /**
     * Online requests that may wait in a target's own queue, so that a freed slot is not idle until
     * the next grant.
     */
    private static final int MAX_QUEUED_AT_TARGET = 1;

    /**
     * Expected wait for a slot, milliseconds, above which a request is not sent to a full target
     * the work of whose requests is known. It would stand behind long ones while slots of other
     * targets become free. A report and a grant take some 40 ms.
     */
    private static final double MAX_WAIT_AT_TARGET_MS = 40;

    /** Requests within a target's limit that batch items leave for online requests. */
    private static final double TOKENS_RESERVED_FOR_ONLINE = 1;

    /**
     * Factor on the cost of a batch item at a target with a limit. Such a target has slots to spare
     * but takes few requests, so it is best used by long ones.
     */
    private static final double LIMITED_TARGET_ITEM_COST = 0.25;

    /** The coordinator gives out the limits of its targets alone. */
    private static final double WHOLE_LIMIT = 1;

    /**
     * Load of a batch item relative to an online request; small, since an item can be preempted.
     */
    private static final double BATCH_ITEM_WEIGHT = 0.04;

    /**
     * Cost of a cold target; exceeds the cost of a warm target with a free slot, so that cold ones
     * are used only beyond these.
     */
    private static final double COLD_TARGET_COST = 500;

    /** Cost of preempting a batch item; exceeds the cost of any target with a free slot. */
    private static final double PREEMPTION_COST = 1_000;

    /** Cost of queueing at a target without batch items; exceeds the cost of a preemption. */
    private static final double QUEUEING_COST = 2_000;

    /**
     * Slowdown, relative to the fastest target, above which batch items wait for a faster target
     * unless more items wait than the faster targets have slots.
     */
    private static final double MAX_BATCH_SLOWDOWN = 2;

    /** Which targets the items of a host may use. */
    record ItemTargets(Set<String> unusable, double maxSlowdown) {
        boolean include(TargetInstance target, double slowdown) {
            return slowdown <= maxSlowdown && !unusable.contains(target.incarnation());
        }
    }

    private final TargetRateLimits mLimits;
    private final TargetPaces mPaces;
    private final TargetRequestBuckets mBuckets;
    private final InFlightTable mInFlight;
    private final TargetSpeeds mSpeeds;
    private final TargetWorkload mWorkload;

    TargetChoice(
            TargetRateLimits limits,
            TargetPaces paces,
            TargetRequestBuckets buckets,
            InFlightTable inFlight,
            TargetSpeeds speeds,
            TargetWorkload workload) {
        mLimits = limits;
        mPaces = paces;
        mBuckets = buckets;
        mInFlight = inFlight;
        mSpeeds = speeds;
        mWorkload = workload;
    }

    /**
     * Returns the target for an online request; null when none of {@code targets} has room.
     *
     * @param totals requests in flight of all hosts, by incarnation of the target
     * @param mayPreempt whether it may take the slot of a batch item
     */
    @Nullable TargetInstance forRequest(
            ServiceCoordinator.Request request,
            List<TargetInstance> targets,
            Map<String, InFlightTable.Count> totals,
            boolean mayPreempt,
            long now) {
        Set<String> avoidedTargets = new HashSet<>(request.excluded());
        avoidedTargets.addAll(mInFlight.targetsToAvoid(request.host(), targets));
        Map<String, Double> slowdowns = mSpeeds.slowdowns(targets);
        TargetInstance best = null;
        double leastCost = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            String incarnation = target.incarnation();
            InFlightTable.Count count = totals.getOrDefault(incarnation, InFlightTable.Count.NONE);
            boolean hasRoom =
                    count.online() < target.slots() + MAX_QUEUED_AT_TARGET
                            && mBuckets.mayStart(incarnation, WHOLE_LIMIT, 0, now);
            if (!hasRoom || avoidedTargets.contains(incarnation)) {
                continue;
            }
            double slowdown =
                    slowdowns.getOrDefault(incarnation, 1.0) * mPaces.factor(incarnation, now);
            boolean isPreemption = count.batch() > 0 && isFull(target, count);
            if (isPreemption && !mayPreempt) {
                continue;
            }
            double cost = requestCost(target, count, slowdown, now);
            if (cost < leastCost) {
                leastCost = cost;
                best = target;
            }
        }
        return best;
    }

    private static boolean isFull(TargetInstance target, InFlightTable.Count count) {
        return count.online() + count.batch() >= target.slots();
    }

    /** Returns the cost of a request at {@code target}; infinite when it should not wait there. */
    private double requestCost(
            TargetInstance target, InFlightTable.Count count, double slowdown, long now) {
        double load = (count.online() + count.batch() * BATCH_ITEM_WEIGHT) / target.slots();
        double cost = slowdown * (1 + load);
        if (mLimits.isCold(target.incarnation())) {
            cost += COLD_TARGET_COST;
        }
        if (!isFull(target, count)) {
            return cost;
        }
        if (count.batch() > 0) {
            return cost + PREEMPTION_COST;
        }
        Double waitMs = mWorkload.waitMs(target, count.online(), slowdown, now);
        if (waitMs == null) {
            return cost + QUEUEING_COST;
        }
        return waitMs > MAX_WAIT_AT_TARGET_MS ? Double.MAX_VALUE : waitMs + QUEUEING_COST;
    }

    /** Returns the slowdown above which a target is no longer used for items that can wait. */
    static double maxSlowdownOfItems(boolean waitsForFastTarget) {
        return waitsForFastTarget ? MAX_BATCH_SLOWDOWN : Double.MAX_VALUE;
    }

    /**
     * Returns the target for a batch item; null when none has room.
     *
     * @param totals requests in flight of all hosts, by incarnation of the target
     * @param backlog the items that wait, of all hosts
     * @param reservedSlots slots of a target that items leave free
     */
    @Nullable TargetInstance forItem(
            ItemTargets usableTargets,
            List<TargetInstance> targets,
            Map<String, InFlightTable.Count> totals,
            BatchBacklog backlog,
            int reservedSlots,
            long now) {
        Map<String, Double> slowdowns = mSpeeds.slowdowns(targets);
        boolean anySpeed = backlog.waitingItems() > slotsOfFastTargets(targets, slowdowns);
        TargetInstance best = null;
        double leastCost = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            InFlightTable.Count count =
                    totals.getOrDefault(target.incarnation(), InFlightTable.Count.NONE);
            int total = count.online() + count.batch();
            boolean hasRoom =
                    total < target.slotsForBatch(reservedSlots)
                            && mBuckets.mayStart(
                                    target.incarnation(),
                                    WHOLE_LIMIT,
                                    TOKENS_RESERVED_FOR_ONLINE,
                                    now);
            double slowdown = slowdowns.getOrDefault(target.incarnation(), 1.0);
            double cost = slowdown * (1 + (double) total / Math.max(1, target.slots()));
            if (mLimits.isCold(target.incarnation())) {
                cost += COLD_TARGET_COST;
            } else if (mLimits.isLimited(target.incarnation())) {
                cost *= LIMITED_TARGET_ITEM_COST;
            }
            boolean usable = hasRoom && usableTargets.include(target, anySpeed ? 1 : slowdown);
            if (usable && cost < leastCost) {
                leastCost = cost;
                best = target;
            }
        }
        return best;
    }

    private static int slotsOfFastTargets(
            List<TargetInstance> targets, Map<String, Double> slowdowns) {
        int slots = 0;
        for (TargetInstance target : targets) {
            boolean fast = slowdowns.getOrDefault(target.incarnation(), 1.0) <= MAX_BATCH_SLOWDOWN;
            slots += fast ? target.slots() : 0;
        }
        return slots;
    }
}
