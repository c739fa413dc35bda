package org.sesamepin.node.slot;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.slot.OnlineRequest;
import org.sesamepin.core.slot.SlotAllocator;
import org.sesamepin.core.slot.SlotDecision;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.SlotRelease;
import org.sesamepin.node.peer.generated.SlotRenewal;
import org.sesamepin.node.peer.generated.SlotReply;
import org.sesamepin.node.peer.generated.SlotRequest;
import org.sesamepin.node.peer.generated.TargetLoad;

/**
 * Grants the slots of the targets that this host owns, and acquires slots of other targets from
 * their owners. While an owner is unresponsive, each host uses a small local share of the target's
 * slots without a grant, so that online requests continue.
 */
public final class SlotService implements AutoCloseable {
    private static final long EXPIRY_INTERVAL_MS = 50;
    private static final long RENEWAL_INTERVAL_MS = 1_000;
    private static final long REPLY_MARGIN_MS = 250;
    private static final long LEASE_CALL_TIMEOUT_MS = 500;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final PeerClient mPeers;
    private final TargetHealth mHealth;
    private final Map<String, SlotAllocator> mAllocators = new ConcurrentHashMap<>();
    private final Map<String, Promise<Long>> mPendingGrants = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mLocalSlotCounts = new ConcurrentHashMap<>();
    private final Set<SlotLease> mRemoteLeases = ConcurrentHashMap.newKeySet();
    private volatile BiConsumer<String, Long> mPreemptionHandler = (target, slotId) -> {};
    private long mExpiryTimer;
    private long mRenewalTimer;

    /** Creates the service; {@link #start} starts its timers. */
    public SlotService(
            Vertx vertx,
            Ticker ticker,
            FleetView fleet,
            BundleManager bundles,
            PeerClient peers,
            TargetHealth health) {
        mVertx = vertx;
        mTicker = ticker;
        mFleet = fleet;
        mBundles = bundles;
        mPeers = peers;
        mHealth = health;
    }

    /** Registers the handlers of the calls that this node serves as the owner of targets. */
    public void registerHandlers(PeerServer server) {
        server.registerHandler(PeerRequest._Fields.SLOT, r -> handleSlotRequest(r.getSlot()));
        server.registerHandler(
                PeerRequest._Fields.SLOT_RELEASE, r -> handleRelease(r.getSlotRelease()));
        server.registerHandler(
                PeerRequest._Fields.SLOT_RENEWAL, r -> handleRenewal(r.getSlotRenewal()));
    }

    /**
     * Starts the timers and follows changes of the configuration. {@code preemptionHandler}
     * receives a target's name and the id of a slot, and has to cancel the batch item that runs in
     * it.
     */
    public void start(BiConsumer<String, Long> preemptionHandler) {
        mPreemptionHandler = preemptionHandler;
        mExpiryTimer = mVertx.setPeriodic(EXPIRY_INTERVAL_MS, t -> expireSlots());
        mRenewalTimer = mVertx.setPeriodic(RENEWAL_INTERVAL_MS, t -> renewRemoteLeases());
        mBundles.onChange(this::configure);
    }

    private void configure(Bundle bundle) {
        for (Target target : bundle.targets().values()) {
            allocatorFor(target).configure(target.slots(), bundle.preference());
        }
        mAllocators.keySet().retainAll(bundle.targets().keySet());
    }

    /** Returns this host's slot allocator of a target, which is created at the first use. */
    public SlotAllocator allocatorFor(Target target) {
        return mAllocators.computeIfAbsent(
                target.name(),
                name ->
                        new SlotAllocator(
                                mFleet.self(),
                                target.slots(),
                                mBundles.current().preference(),
                                () -> ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE)));
    }

    public boolean owns(Target target) {
        return mFleet.isSelf(mFleet.ownerOf(ownerKey(target.name())));
    }

    private static String ownerKey(String target) {
        return "target/" + target;
    }

    /**
     * Acquires a slot for an online request, waiting at most {@code waitMs} milliseconds. When no
     * slot is granted, the future fails with step {@link Step#GRANT_SLOT}; nothing was sent to the
     * target in that case.
     */
    public Future<SlotLease> acquire(
            Target target, String customer, String requestId, long cost, long waitMs) {
        String owner = mFleet.ownerOf(ownerKey(target.name()));
        if (mFleet.isSelf(owner)) {
            return requestOwnSlot(target, customer, requestId, cost, waitMs, owner)
                    .map(slotId -> new SlotLease(target, slotId, owner));
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return acquireFromLocalShare(target);
        }
        SlotRequest request = new SlotRequest();
        request.setTarget(target.name());
        request.setCustomer(customer);
        request.setRequestId(requestId);
        request.setCost(cost);
        request.setWaitMs(waitMs);
        request.setHost(mFleet.self());
        return mPeers.call(address, PeerRequest.slot(request), waitMs + REPLY_MARGIN_MS)
                .transform(
                        done -> {
                            if (done.failed()) {
                                return acquireFromLocalShare(target);
                            }
                            SlotReply reply = done.result().getSlot();
                            if (!reply.isGranted()) {
                                return Future.failedFuture(rejection(owner, reply.getReason()));
                            }
                            SlotLease lease = new SlotLease(target, reply.getSlotId(), owner);
                            mRemoteLeases.add(lease);
                            return Future.succeededFuture(lease);
                        });
    }

    /**
     * Releases a slot. With {@code targetFailed} the failure of the target is recorded here and
     * reported to the owner.
     */
    public void release(SlotLease lease, boolean targetFailed) {
        String target = lease.target().name();
        if (targetFailed) {
            mHealth.recordFailure(target);
        }
        if (lease.owner().isEmpty()) {
            localSlotCount(target).decrementAndGet();
            return;
        }
        if (mFleet.isSelf(lease.owner())) {
            applyDecisions(
                    target,
                    allocatorFor(lease.target()).releaseSlot(lease.slotId(), mTicker.nanoTime()));
            return;
        }
        mRemoteLeases.remove(lease);
        String address = mFleet.addressOf(lease.owner());
        if (address != null) {
            SlotRelease release = new SlotRelease(target, lease.slotId(), targetFailed);
            mPeers.call(address, PeerRequest.slotRelease(release), LEASE_CALL_TIMEOUT_MS);
        }
    }

    /** Releases a slot in which a batch item of this host ran. */
    public void releaseBatchSlot(Target target, long slotId) {
        applyDecisions(target.name(), allocatorFor(target).releaseSlot(slotId, mTicker.nanoTime()));
    }

    private Future<SlotLease> acquireFromLocalShare(Target target) {
        int hostCount = Math.max(1, mFleet.view().size());
        int share = Math.max(1, target.slots() / hostCount);
        AtomicInteger inUse = localSlotCount(target.name());
        if (inUse.incrementAndGet() > share) {
            inUse.decrementAndGet();
            return Future.failedFuture(
                    rejection(
                            "owner",
                            "the owner is unresponsive and the local share of slots is in use"));
        }
        return Future.succeededFuture(new SlotLease(target, 0, ""));
    }

    private AtomicInteger localSlotCount(String target) {
        return mLocalSlotCounts.computeIfAbsent(target, t -> new AtomicInteger());
    }

    private Future<Long> requestOwnSlot(
            Target target,
            String customer,
            String requestId,
            long cost,
            long waitMs,
            String entryHost) {
        long now = mTicker.nanoTime();
        long deadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(waitMs);
        OnlineRequest request =
                new OnlineRequest(requestId, customer, cost, entryHost, deadlineNanos);
        Promise<Long> promise = Promise.promise();
        mPendingGrants.put(requestId + target.name(), promise);
        applyDecisions(target.name(), allocatorFor(target).requestSlot(request, now));
        return promise.future();
    }

    private void applyDecisions(String target, List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotDecision.Preempt preempt) {
                mPreemptionHandler.accept(target, preempt.slotId());
            } else if (decision instanceof SlotDecision.Grant grant) {
                completeGrant(target, grant.request(), grant.slotId());
            } else if (decision instanceof SlotDecision.Reject reject) {
                completeGrant(target, reject.request(), 0);
            }
        }
    }

    private void completeGrant(String target, OnlineRequest request, long slotId) {
        Promise<Long> promise = mPendingGrants.remove(request.requestId() + target);
        if (promise == null) {
            return;
        }
        if (slotId == 0) {
            promise.tryFail(rejection(mFleet.self(), "no slot became free in time"));
        } else {
            promise.tryComplete(slotId);
        }
    }

    private Future<PeerReply> handleSlotRequest(SlotRequest request) {
        Target target = mBundles.current().targets().get(request.getTarget());
        if (target == null) {
            return Future.failedFuture(rejection(mFleet.self(), "unknown target"));
        }
        return requestOwnSlot(
                        target,
                        request.getCustomer(),
                        request.getRequestId(),
                        request.getCost(),
                        request.getWaitMs(),
                        request.getHost())
                .map(slotId -> new SlotReply(true, slotId, ""))
                .otherwise(e -> new SlotReply(false, 0, String.valueOf(e.getMessage())))
                .map(PeerReply::slot);
    }

    private Future<PeerReply> handleRelease(SlotRelease release) {
        Target target = mBundles.current().targets().get(release.getTarget());
        if (target != null) {
            if (release.isTargetFailed()) {
                mHealth.recordFailure(target.name());
            }
            long now = mTicker.nanoTime();
            applyDecisions(
                    target.name(), allocatorFor(target).releaseSlot(release.getSlotId(), now));
        }
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private Future<PeerReply> handleRenewal(SlotRenewal renewal) {
        Target target = mBundles.current().targets().get(renewal.getTarget());
        if (target != null) {
            allocatorFor(target).renewSlots("peer", renewal.getSlotIds(), mTicker.nanoTime());
        }
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private void renewRemoteLeases() {
        Map<Target, List<Long>> byTarget = new HashMap<>();
        for (SlotLease lease : mRemoteLeases) {
            byTarget.computeIfAbsent(lease.target(), t -> new ArrayList<>()).add(lease.slotId());
        }
        byTarget.forEach(
                (target, slotIds) -> {
                    String address = mFleet.addressOf(mFleet.ownerOf(ownerKey(target.name())));
                    if (address != null) {
                        SlotRenewal renewal = new SlotRenewal(target.name(), slotIds);
                        mPeers.call(
                                address, PeerRequest.slotRenewal(renewal), LEASE_CALL_TIMEOUT_MS);
                    }
                });
    }

    private void expireSlots() {
        long now = mTicker.nanoTime();
        mAllocators.forEach((target, allocator) -> applyDecisions(target, allocator.expire(now)));
    }

    /** Returns the load of the targets that this host owns, for its heartbeats. */
    public List<TargetLoad> ownedTargetLoads() {
        List<TargetLoad> loads = new ArrayList<>();
        for (Target target : mBundles.current().targets().values()) {
            if (owns(target)) {
                loads.add(loadOf(target));
            }
        }
        return loads;
    }

    /** Returns the load of one target according to this host's slot allocator. */
    public TargetLoad loadOf(Target target) {
        SlotAllocator allocator = allocatorFor(target);
        return new TargetLoad(
                target.name(),
                allocator.freeForOnline(),
                allocator.batchRunning(),
                allocator.queued(),
                mHealth.isFailing(target.name()));
    }

    private static SesamepinException rejection(String peer, String reason) {
        return new SesamepinException(Step.GRANT_SLOT, peer, reason);
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mExpiryTimer);
        mVertx.cancelTimer(mRenewalTimer);
    }
}
