package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetRateLimits;
import org.sesamepin.core.target.TargetSelector;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.peer.generated.PlaceAsk;
import org.sesamepin.node.peer.generated.PlaceGrant;
import org.sesamepin.node.peer.generated.SuspendItem;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places this host's requests on targets. Each service whose targets run only a few requests at
 * once has one coordinating host, to which the other hosts send placement requests. While the
 * coordinator does not reply, this host chooses a target itself from the loads that the peers
 * reported. Confined to the event loop.
 */
public final class PlacementClient {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementClient.class);
    private static final long PLACEMENT_TIMEOUT_MS = 150;
    private static final long GRANT_WAIT_MS = 400;

    /** Requests of all hosts per slot at or above which a target gets no further online request. */
    private static final double MAX_ONLINE_OCCUPANCY = 2.0;

    /** Slots of a target that items without a grant leave to those that the coordinator places. */
    private static final int COORDINATOR_SLOTS = 1;

    private record WaitingRequest(
            PlacementRequest request,
            Promise<PlacementResult> promise,
            long timerId,
            long sinceNanos) {}

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final TargetSelector mTargetSelector;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatchWork;
    private final CoordinatorLookup mCoordinatorLookup;
    private final TargetRateLimits mLimits;
    private final TargetLimitShares mLimitShares;
    private final ItemGrantTimeout mItemGrantTimeout = new ItemGrantTimeout();
    private final PlacementCoordinator mLocalCoordinator;
    private final Map<String, WaitingRequest> mWaitingRequests = new HashMap<>();

    /**
     * Creates a client; its local coordinator grants waiting requests only after {@link #start}.
     */
    public PlacementClient(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient peerClient,
            TargetSelector targetSelector,
            ServingMetrics metrics,
            BatchWork batchWork,
            TargetRateLimits limits) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
        mTargetSelector = targetSelector;
        mMetrics = metrics;
        mBatchWork = batchWork;
        mCoordinatorLookup = new CoordinatorLookup(ticker, state, peers);
        mLimits = limits;
        mLimitShares = new TargetLimitShares(ticker, peers, limits);
        mLocalCoordinator =
                new PlacementCoordinator(
                        vertx,
                        ticker,
                        state,
                        peers,
                        peerClient,
                        metrics,
                        batchWork,
                        mCoordinatorLookup,
                        limits);
    }

    /**
     * Starts granting placements to requests and items of all hosts that wait at this host, for the
     * services that it coordinates.
     */
    public void start() {
        mLocalCoordinator.start(this::onGrant);
    }

    /** Returns the peers that coordinate the services of the configuration. */
    List<PeerTable.Peer> coordinatingPeers() {
        return mCoordinatorLookup.coordinatingPeers();
    }

    /** Returns the coordinator of the services that this host coordinates. */
    PlacementCoordinator localCoordinator() {
        return mLocalCoordinator;
    }

    /** Places an online request; the result has no target when the request is rejected. */
    Future<PlacementResult> place(PlacementRequest request) {
        String coordinator = mCoordinatorLookup.coordinatorOf(request.service());
        if (coordinator.isEmpty()) {
            return Future.succeededFuture(placeLocally(request, "not-coordinated"));
        }
        if (coordinator.equals(mPeers.self())) {
            return handleReply(
                    request, mLocalCoordinator.handleRequest(toMessage(request)), mPeers.self());
        }
        PeerTable.Peer peer = mPeers.find(coordinator);
        if (peer == null) {
            return Future.succeededFuture(placeLocally(request, "coordinator-gone"));
        }
        long sentAt = mTicker.nanoTime();
        return mPeerClient
                .call(
                        peer.address(),
                        PeerRequest.placeAsk(toMessage(request)),
                        PLACEMENT_TIMEOUT_MS)
                .transform(
                        reply -> {
                            if (reply.succeeded()) {
                                mCoordinatorLookup.recordAnswer(peer);
                                return handleReply(
                                        request,
                                        PlacementMessages.answerIn(reply.result()),
                                        peer.name());
                            }
                            mCoordinatorLookup.recordNoAnswer(peer, sentAt, reply.cause());
                            return Future.succeededFuture(placeLocally(request, "no-coordinator"));
                        });
    }

    /** Returns the target with {@code id} if it accepts requests, or null. */
    private @Nullable TargetInstance readyTarget(String id) {
        TargetInstance target = mState.targets().get(id);
        return target != null && mState.targets().isReady(target) ? target : null;
    }

    /** Encodes a request; the coordinator may not know yet which targets leave. */
    private PlaceAsk toMessage(PlacementRequest request) {
        Set<String> excluded = new HashSet<>(request.excluded());
        excluded.addAll(mState.leavingTargets());
        PlaceAsk message =
                new PlaceAsk(
                        request.id(),
                        mPeers.self(),
                        request.service(),
                        request.rank(),
                        request.isRetry(),
                        request.latencyObjectiveMs(),
                        request.remainingMs(),
                        List.copyOf(excluded));
        message.setVersion(request.version());
        return message;
    }

    private Future<PlacementResult> handleReply(
            PlacementRequest request, PlaceAnswer reply, String decider) {
        if (!reply.isSetOutcome()) {
            return Future.succeededFuture(placeLocally(request, "unknown-outcome"));
        }
        return switch (reply.getOutcome()) {
            case GRANTED -> {
                TargetInstance target = readyTarget(reply.getTargetId());
                yield Future.succeededFuture(
                        accept(request, target, reply.getOccupancy(), decider));
            }
            case REFUSED ->
                    Future.succeededFuture(
                            new PlacementResult(null, 0, reply.getRetryAfterMs(), decider));
            case QUEUED -> awaitGrant(request);
            case NOT_COORDINATOR ->
                    Future.succeededFuture(placeLocally(request, "not-coordinator"));
        };
    }

    /** Returns the placement that was granted, or another when the target is not suitable. */
    private PlacementResult accept(
            PlacementRequest request,
            @Nullable TargetInstance target,
            double occupancy,
            String decider) {
        if (target == null) {
            return placeLocally(request, "unknown-target");
        }
        // A coordinator of an older release does not know about versions.
        if (!request.mayRunAt(target)) {
            return placeLocally(request, "other-version");
        }
        return new PlacementResult(target, occupancy, 0, decider);
    }

    /** Waits for the coordinator's grant and sends the request again when none arrives in time. */
    private Future<PlacementResult> awaitGrant(PlacementRequest request) {
        Promise<PlacementResult> promise = Promise.promise();
        long timer = mVertx.setTimer(GRANT_WAIT_MS, t -> retryPlacement(request.id(), Set.of()));
        mWaitingRequests.put(
                request.id(), new WaitingRequest(request, promise, timer, mTicker.nanoTime()));
        return promise.future();
    }

    /**
     * Asks at once for another target for a request that waits.
     *
     * @param targetId id of the target that does not accept requests any more
     */
    private void askForAnother(String requestId, String targetId) {
        WaitingRequest waiting = mWaitingRequests.get(requestId);
        TargetInstance target = mState.targets().get(targetId);
        if (waiting == null || target == null) {
            return;
        }
        mVertx.cancelTimer(waiting.timerId());
        retryPlacement(requestId, Set.of(target.incarnation()));
    }

    /**
     * Sends a waiting request to the coordinator again.
     *
     * @param excluded incarnations to exclude in addition to those excluded before
     */
    private void retryPlacement(String requestId, Set<String> excluded) {
        WaitingRequest waiting = mWaitingRequests.remove(requestId);
        if (waiting == null) {
            return;
        }
        mLocalCoordinator.withdraw(requestId, waiting.request().service());
        long waitedNanos = mTicker.nanoTime() - waiting.sinceNanos();
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(waitedNanos);
        place(waiting.request().again(waitedMs, excluded)).onComplete(waiting.promise());
    }

    /** Withdraws a request whose call has ended, if it still waits for a grant. */
    void withdraw(String requestId, String service) {
        WaitingRequest waiting = mWaitingRequests.remove(requestId);
        if (waiting != null) {
            mVertx.cancelTimer(waiting.timerId());
            mLocalCoordinator.withdraw(requestId, service);
        }
    }

    /**
     * Handles a coordinator's grant for a waiting request or for a batch item. After a grant for a
     * target that is no longer ready, a request asks again; an item waits for the next grant. A
     * grant without a target rejects the request.
     */
    void onGrant(PlaceGrant grant) {
        if (grant.getTargetId().isEmpty()) {
            complete(grant, null);
            return;
        }
        TargetInstance target = readyTarget(grant.getTargetId());
        if (target == null) {
            askForAnother(grant.getRequestId(), grant.getTargetId());
            return;
        }
        if (grant.getRequestId().isEmpty()) {
            if (mBatchWork.runOne(grant.getServiceName(), target)) {
                mItemGrantTimeout.recordGrant(grant.getServiceName());
            }
            return;
        }
        complete(grant, target);
    }

    /**
     * Ends the wait of a request.
     *
     * @param target the granted target; null when the request is rejected
     */
    private void complete(PlaceGrant grant, @Nullable TargetInstance target) {
        WaitingRequest waiting = mWaitingRequests.remove(grant.getRequestId());
        if (waiting == null) {
            return;
        }
        mVertx.cancelTimer(waiting.timerId());
        PlacementResult rejection = new PlacementResult(null, 0, 0, "after-waiting");
        waiting.promise()
                .complete(
                        target == null
                                ? rejection
                                : accept(
                                        waiting.request(),
                                        target,
                                        grant.getOccupancy(),
                                        "after-waiting"));
    }

    /** Suspends a batch item because a coordinator granted its slot to an online request. */
    void onSuspendRequest(SuspendItem message) {
        TargetInstance target = mState.targets().get(message.getTargetId());
        if (target != null) {
            mBatchWork.suspendOne(target);
        }
    }

    /**
     * Returns a target with a free slot for a batch item of a service that no host coordinates, or
     * whose coordinator has granted nothing for too long; null when there is none, or when the item
     * has to wait for a grant.
     *
     * @param reservedSlots slots that must stay free in addition to the item's slot
     */
    public @Nullable TargetInstance uncoordinatedTarget(String service, int reservedSlots) {
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
        TargetSelector.Choice choice =
                mTargetSelector.selectForBatch(
                        targets, Set.of(), reservedSlots, mTicker.nanoTime());
        return choice == null ? null : choice.target();
    }

    private PlacementResult placeLocally(PlacementRequest request, String reason) {
        List<TargetInstance> targets =
                mLimitShares.available(
                        mState.targets().readyTargets(request.service(), request.version()));
        long now = mTicker.nanoTime();
        TargetSelector.Choice choice =
                mTargetSelector.selectForOnline(targets, request.excluded(), now);
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
}
