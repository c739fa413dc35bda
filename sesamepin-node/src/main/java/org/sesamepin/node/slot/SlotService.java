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
 * Grants slots of the targets that this host owns, and gets slots of the others from their owners.
 * When an owner is silent, a host sends a small share of a target's slots on its own, so that
 * online requests go on.
 */
public final class SlotService implements AutoCloseable {
    private static final long EXPIRY_MS = 50;
    private static final long RENEWAL_MS = 1_000;
    private static final long REPLY_MARGIN_MS = 250;
    private static final long RELEASE_TIMEOUT_MS = 500;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final PeerClient mPeers;
    private final TargetHealth mHealth;
    private final Map<String, SlotAllocator> mLedgers = new ConcurrentHashMap<>();
    private final Map<String, Promise<Long>> mWaiting = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mLocalShares = new ConcurrentHashMap<>();
    private final Set<SlotLease> mRemote = ConcurrentHashMap.newKeySet();
    private volatile BiConsumer<String, Long> mPreempt = (target, slot) -> {};
    private long mExpiryTimer;
    private long mRenewalTimer;

    /** Creates the service. */
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

    /** Registers the calls that this node answers as an owner. */
    public void register(PeerServer server) {
        server.registerHandler(PeerRequest._Fields.SLOT, r -> granted(r.getSlot()));
        server.registerHandler(PeerRequest._Fields.SLOT_RELEASE, r -> released(r.getSlotRelease()));
        server.registerHandler(PeerRequest._Fields.SLOT_RENEWAL, r -> renewed(r.getSlotRenewal()));
    }

    /** Starts the timers; {@code preempt} cancels the batch item in a target's slot. */
    public void start(BiConsumer<String, Long> preempt) {
        mPreempt = preempt;
        mExpiryTimer = mVertx.setPeriodic(EXPIRY_MS, t -> expire());
        mRenewalTimer = mVertx.setPeriodic(RENEWAL_MS, t -> renew());
        mBundles.onChange(this::configure);
    }

    private void configure(Bundle bundle) {
        for (Target target : bundle.targets().values()) {
            ledger(target).configure(target.slots(), bundle.preference());
        }
        mLedgers.keySet().retainAll(bundle.targets().keySet());
    }

    /** Returns this host's ledger of a target. */
    public SlotAllocator ledger(Target target) {
        return mLedgers.computeIfAbsent(
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
     * Gets a slot for an online request, waiting at most {@code waitMs}. The future fails with step
     * {@link Step#GRANT_SLOT} when there is none; nothing was sent to the target then.
     */
    public Future<SlotLease> acquire(
            Target target, String customer, String requestId, long cost, long waitMs) {
        String owner = mFleet.ownerOf(ownerKey(target.name()));
        if (mFleet.isSelf(owner)) {
            return request(target, customer, requestId, cost, waitMs, owner)
                    .map(slot -> new SlotLease(target, slot, owner));
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return localShare(target);
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
                                return localShare(target);
                            }
                            SlotReply reply = done.result().getSlot();
                            if (!reply.isGranted()) {
                                return Future.failedFuture(refused(owner, reply.getReason()));
                            }
                            SlotLease lease = new SlotLease(target, reply.getSlotId(), owner);
                            mRemote.add(lease);
                            return Future.succeededFuture(lease);
                        });
    }

    /** Gives a slot back; {@code targetFailed} tells the owner that the target did not answer. */
    public void release(SlotLease lease, boolean targetFailed) {
        String target = lease.target().name();
        if (targetFailed) {
            mHealth.failed(target);
        }
        if (lease.owner().isEmpty()) {
            localCount(target).decrementAndGet();
            return;
        }
        if (mFleet.isSelf(lease.owner())) {
            carryOut(
                    target, ledger(lease.target()).releaseSlot(lease.slotId(), mTicker.nanoTime()));
            return;
        }
        mRemote.remove(lease);
        String address = mFleet.addressOf(lease.owner());
        if (address != null) {
            SlotRelease release = new SlotRelease(target, lease.slotId(), targetFailed);
            mPeers.call(address, PeerRequest.slotRelease(release), RELEASE_TIMEOUT_MS);
        }
    }

    /** Gives a slot back that a batch item of this host had. */
    public void releaseBatch(Target target, long slotId) {
        carryOut(target.name(), ledger(target).releaseSlot(slotId, mTicker.nanoTime()));
    }

    private Future<SlotLease> localShare(Target target) {
        int hosts = Math.max(1, mFleet.view().size());
        int share = Math.max(1, target.slots() / hosts);
        AtomicInteger count = localCount(target.name());
        if (count.incrementAndGet() > share) {
            count.decrementAndGet();
            return Future.failedFuture(refused("owner", "owner silent and local share in use"));
        }
        return Future.succeededFuture(new SlotLease(target, 0, ""));
    }

    private AtomicInteger localCount(String target) {
        return mLocalShares.computeIfAbsent(target, t -> new AtomicInteger());
    }

    private Future<Long> request(
            Target target, String customer, String requestId, long cost, long waitMs, String host) {
        long now = mTicker.nanoTime();
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(waitMs);
        OnlineRequest request = new OnlineRequest(requestId, customer, cost, host, deadline);
        Promise<Long> promise = Promise.promise();
        mWaiting.put(requestId + target.name(), promise);
        carryOut(target.name(), ledger(target).requestSlot(request, now));
        return promise.future();
    }

    private void carryOut(String target, List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotDecision.Preempt preempt) {
                mPreempt.accept(target, preempt.slotId());
            } else if (decision instanceof SlotDecision.Grant grant) {
                answer(target, grant.request(), grant.slotId());
            } else if (decision instanceof SlotDecision.Reject refuse) {
                answer(target, refuse.request(), 0);
            }
        }
    }

    private void answer(String target, OnlineRequest request, long slotId) {
        Promise<Long> promise = mWaiting.remove(request.requestId() + target);
        if (promise == null) {
            return;
        }
        if (slotId == 0) {
            promise.tryFail(refused(mFleet.self(), "no slot became free in time"));
        } else {
            promise.tryComplete(slotId);
        }
    }

    private Future<PeerReply> granted(SlotRequest request) {
        Target target = mBundles.current().targets().get(request.getTarget());
        if (target == null) {
            return Future.failedFuture(refused(mFleet.self(), "unknown target"));
        }
        return request(
                        target,
                        request.getCustomer(),
                        request.getRequestId(),
                        request.getCost(),
                        request.getWaitMs(),
                        request.getHost())
                .map(slot -> new SlotReply(true, slot, ""))
                .otherwise(e -> new SlotReply(false, 0, String.valueOf(e.getMessage())))
                .map(PeerReply::slot);
    }

    private Future<PeerReply> released(SlotRelease release) {
        Target target = mBundles.current().targets().get(release.getTarget());
        if (target != null) {
            if (release.isTargetFailed()) {
                mHealth.failed(target.name());
            }
            long now = mTicker.nanoTime();
            carryOut(target.name(), ledger(target).releaseSlot(release.getSlotId(), now));
        }
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private Future<PeerReply> renewed(SlotRenewal renewal) {
        Target target = mBundles.current().targets().get(renewal.getTarget());
        if (target != null) {
            ledger(target).renewSlots("peer", renewal.getSlotIds(), mTicker.nanoTime());
        }
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private void renew() {
        Map<Target, List<Long>> byTarget = new HashMap<>();
        for (SlotLease lease : mRemote) {
            byTarget.computeIfAbsent(lease.target(), t -> new ArrayList<>()).add(lease.slotId());
        }
        byTarget.forEach(
                (target, slots) -> {
                    String address = mFleet.addressOf(mFleet.ownerOf(ownerKey(target.name())));
                    if (address != null) {
                        SlotRenewal renewal = new SlotRenewal(target.name(), slots);
                        mPeers.call(address, PeerRequest.slotRenewal(renewal), RELEASE_TIMEOUT_MS);
                    }
                });
    }

    private void expire() {
        long now = mTicker.nanoTime();
        mLedgers.forEach((target, ledger) -> carryOut(target, ledger.expire(now)));
    }

    /** Returns the load of the targets that this host owns, for its heartbeats. */
    public List<TargetLoad> loads() {
        List<TargetLoad> loads = new ArrayList<>();
        for (Target target : mBundles.current().targets().values()) {
            if (owns(target)) {
                loads.add(load(target));
            }
        }
        return loads;
    }

    /** Returns the load of one target as this host's ledger has it. */
    public TargetLoad load(Target target) {
        SlotAllocator ledger = ledger(target);
        return new TargetLoad(
                target.name(),
                ledger.freeForOnline(),
                ledger.batchRunning(),
                ledger.queued(),
                mHealth.isFailing(target.name()));
    }

    private static SesamepinException refused(String peer, String reason) {
        return new SesamepinException(Step.GRANT_SLOT, peer, reason);
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mExpiryTimer);
        mVertx.cancelTimer(mRenewalTimer);
    }
}
