package org.sesamepin.node.serving;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetRateLimits;
import org.sesamepin.core.target.TargetSelector;
import org.sesamepin.core.time.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses targets from the loads that the peers reported, for requests and items that no
 * coordinator places. Confined to the event loop.
 */
final class LocalPlacement {
    private static final Logger LOG = LoggerFactory.getLogger(LocalPlacement.class);

    /** Requests of all hosts per slot at or above which a target gets no further online request. */
    private static final double MAX_ONLINE_OCCUPANCY = 2.0;

    /** Slots of a target that items without a grant leave to those that the coordinator places. */
    private static final int COORDINATOR_SLOTS = 1;

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final TargetSelector mTargetSelector;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatchWork;
    private final CoordinatorLookup mCoordinatorLookup;
    private final TargetRateLimits mLimits;
    private final TargetLimitShares mLimitShares;
    private final ItemGrantTimeout mItemGrantTimeout = new ItemGrantTimeout();

    LocalPlacement(
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            TargetSelector targetSelector,
            ServingMetrics metrics,
            BatchWork batchWork,
            CoordinatorLookup coordinatorLookup,
            TargetRateLimits limits) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mTargetSelector = targetSelector;
        mMetrics = metrics;
        mBatchWork = batchWork;
        mCoordinatorLookup = coordinatorLookup;
        mLimits = limits;
        mLimitShares = new TargetLimitShares(ticker, peers, limits);
    }

    /**
     * Returns a target with a free slot for a batch item of a service that no host coordinates, or
     * whose coordinator has granted nothing for too long; null when there is none, or when the item
     * has to wait for a grant.
     *
     * @param reservedSlots slots that must stay free in addition to the item's slot
     */
    @Nullable TargetInstance targetForItem(String service, int reservedSlots) {
        if (!mCoordinatorLookup.coordinatorOf(service).isEmpty()) {
            return targetWithoutGrant(service, reservedSlots + COORDINATOR_SLOTS);
        }
        List<TargetInstance> targets =
                mLimitShares.available(mState.targets().readyTargets(service));
        TargetInstance target = selectForBatch(targets, reservedSlots);
        if (target != null) {
            mLimitShares.recordStart(target);
        }
        return target;
    }

    /**
     * Returns a target for an item whose coordinator has granted nothing for too long, or null. It
     * is never one with a limit, which the coordinator gives out as a whole, and there is none in a
     * fleet so large that this host does not know the loads of the targets.
     */
    private @Nullable TargetInstance targetWithoutGrant(String service, int reservedSlots) {
        long now = mTicker.nanoTime();
        if (mPeers.isLargeFleet() || !mItemGrantTimeout.isOver(service, now)) {
            return null;
        }
        List<TargetInstance> targets =
                mState.targets().readyTargets(service).stream()
                        .filter(target -> !mLimits.isLimited(target.incarnation()))
                        .toList();
        TargetInstance target = selectForBatch(targets, reservedSlots);
        if (target != null) {
            mItemGrantTimeout.recordPlacement(service, now);
            LOG.warn(
                    "step=place service={} coordinator={} target={} outcome=item-without-grant",
                    service,
                    mCoordinatorLookup.coordinatorOf(service),
                    target.incarnation());
        }
        return target;
    }

    private @Nullable TargetInstance selectForBatch(
            List<TargetInstance> targets, int reservedSlots) {
        long now = mTicker.nanoTime();
        TargetSelector.Choice choice =
                mTargetSelector.selectForBatch(warm(targets), Set.of(), reservedSlots, now);
        if (choice == null) {
            choice = mTargetSelector.selectForBatch(targets, Set.of(), reservedSlots, now);
        }
        return choice == null ? null : choice.target();
    }

    private List<TargetInstance> warm(List<TargetInstance> targets) {
        return targets.stream().filter(target -> !mLimits.isCold(target.incarnation())).toList();
    }

    /** Chooses a warm target with a free slot, or else any. */
    private TargetSelector.@Nullable Choice selectForOnline(
            List<TargetInstance> targets, Set<String> excluded) {
        long now = mTicker.nanoTime();
        List<TargetInstance> warm = warm(targets);
        TargetSelector.Choice choice = mTargetSelector.selectForOnline(warm, excluded, now);
        boolean allAreWarm = warm.size() == targets.size();
        if (allAreWarm || (choice != null && choice.occupancy() < 1)) {
            return choice;
        }
        return mTargetSelector.selectForOnline(targets, excluded, now);
    }

    /**
     * Places an online request; the result has no target when there is none with room.
     *
     * @param reason why no coordinator decides
     */
    PlacementResult place(PlacementRequest request, String reason) {
        List<TargetInstance> targets =
                mLimitShares.available(
                        mState.targets().readyTargets(request.service(), request.version()));
        TargetSelector.Choice choice = selectForOnline(targets, request.excluded());
        if (choice == null) {
            return new PlacementResult(null, 0, 0, reason);
        }
        if (choice.occupancy() >= 1) {
            TargetInstance preemptedTarget = preemptItem(targets, request);
            if (preemptedTarget != null) {
                mLimitShares.recordStart(preemptedTarget);
                return new PlacementResult(preemptedTarget, 1, 0, reason);
            }
        }
        if (choice.occupancy() >= MAX_ONLINE_OCCUPANCY) {
            return new PlacementResult(null, choice.occupancy(), 0, reason);
        }
        mLimitShares.recordStart(choice.target());
        return new PlacementResult(choice.target(), choice.occupancy(), 0, reason);
    }

    private @Nullable TargetInstance preemptItem(
            List<TargetInstance> targets, PlacementRequest request) {
        TargetInstance target = mTargetSelector.selectForPreemption(targets, mTicker.nanoTime());
        boolean alreadyTried = target != null && request.excluded().contains(target.incarnation());
        if (target == null || alreadyTried || !mBatchWork.suspendOne(target)) {
            return null;
        }
        mMetrics.countPreemption();
        return target;
    }

    /** Records that a coordinator granted a target for an item of {@code service}. */
    void recordItemGrant(String service) {
        mItemGrantTimeout.recordGrant(service);
    }
}
