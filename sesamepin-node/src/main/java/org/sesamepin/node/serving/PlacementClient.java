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
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetPaces;
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

    /** Time after which the caller of a request to an evacuated service should retry. */
    private static final long EVACUATED_RETRY_AFTER_MS = 1_000;

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
    private final BatchWork mBatchWork;
    private final CoordinatorLookup mCoordinatorLookup;
    private final EndedRequests mEndedRequests = new EndedRequests();
    private final HandledGrants mHandledGrants;
    private final PlacementCoordinator mLocalCoordinator;
    private final LocalPlacement mLocalPlacement;
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
            TargetRateLimits limits,
            TargetPaces paces) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
        mBatchWork = batchWork;
        mCoordinatorLookup = new CoordinatorLookup(ticker, state, peers);
        mHandledGrants = new HandledGrants(ticker);
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
                        limits,
                        paces);
        mLocalPlacement =
                new LocalPlacement(
                        ticker,
                        state,
                        peers,
                        targetSelector,
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

    /** Returns whether this host coordinates a service of the configuration. */
    boolean isCoordinatorOfAny() {
        return mState.config().services().stream()
                .anyMatch(service -> mCoordinatorLookup.isCoordinatedHere(service.name()));
    }

    /** Returns the coordinator of the services that this host coordinates. */
    PlacementCoordinator localCoordinator() {
        return mLocalCoordinator;
    }

    /** Returns the grants that this host has handled. */
    HandledGrants handledGrants() {
        return mHandledGrants;
    }

    /**
     * Records an online request of this host that has ended with a whole response.
     *
     * @param sentNanos time from being sent to its end, nanoseconds
     */
    void recordEnded(
            String service, String route, RequestSize size, TargetInstance target, long sentNanos) {
        mLocalCoordinator.recordServiceTime(service, sentNanos);
        if (size.isDeclared()) {
            mEndedRequests.record(service, route, size, target, sentNanos);
        }
    }

    /** Records that no request starts with a placement. */
    void recordUnused(PlacementResult placement) {
        if (placement.target() != null) {
            mHandledGrants.recordUnused();
        }
    }

    /**
     * Places an online request; the result has no target when the request is rejected. A request
     * whose service has targets only in evacuated failure domains is rejected at once: it would
     * wait until its deadline, as nothing tells when the order will be taken back.
     */
    Future<PlacementResult> place(PlacementRequest request) {
        if (mState.targets().isServiceEvacuated(request.service())) {
            return Future.succeededFuture(
                    new PlacementResult(null, 0, EVACUATED_RETRY_AFTER_MS, "evacuation"));
        }
        String coordinator = mCoordinatorLookup.coordinatorOf(request.service());
        if (coordinator.isEmpty()) {
            return Future.succeededFuture(mLocalPlacement.place(request, "not-coordinated"));
        }
        if (coordinator.equals(mPeers.self())) {
            return handleReply(
                    request, mLocalCoordinator.handleRequest(toMessage(request)), mPeers.self());
        }
        PeerTable.Peer peer = mPeers.find(coordinator);
        if (peer == null) {
            return Future.succeededFuture(mLocalPlacement.place(request, "coordinator-gone"));
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
                            return Future.succeededFuture(
                                    mLocalPlacement.place(request, "no-coordinator"));
                        });
    }

    /** Returns the target with {@code id} if it accepts requests, or null. */
    private @Nullable TargetInstance readyTarget(String id) {
        TargetInstance target = mState.targets().get(id);
        return target != null && mState.targets().isReady(target) ? target : null;
    }

    /** Encodes a request; the coordinator may not know yet which targets get no requests. */
    private PlaceAsk toMessage(PlacementRequest request) {
        Set<String> excluded = new HashSet<>(request.excluded());
        excluded.addAll(mState.withdrawnTargets());
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
        if (request.size().isDeclared()) {
            message.setRoute(request.route())
                    .setPromptTokens(request.size().promptTokens())
                    .setMaxOutputTokens(request.size().maxOutputTokens());
        }
        mEndedRequests.addTo(message);
        return message;
    }

    private Future<PlacementResult> handleReply(
            PlacementRequest request, PlaceAnswer reply, String decider) {
        if (!reply.isSetOutcome()) {
            return Future.succeededFuture(mLocalPlacement.place(request, "unknown-outcome"));
        }
        return switch (reply.getOutcome()) {
            case GRANTED -> {
                if (!mHandledGrants.record(request.id(), request.service(), reply)) {
                    yield place(request);
                }
                TargetInstance target = readyTarget(reply.getTargetId());
                yield Future.succeededFuture(
                        accept(request, target, reply.getOccupancy(), decider));
            }
            case REFUSED ->
                    Future.succeededFuture(
                            new PlacementResult(null, 0, reply.getRetryAfterMs(), decider));
            case QUEUED -> awaitGrant(request);
            case NOT_COORDINATOR ->
                    Future.succeededFuture(mLocalPlacement.place(request, "not-coordinator"));
        };
    }

    /** Returns the placement that was granted, or another when the target is not suitable. */
    private PlacementResult accept(
            PlacementRequest request,
            @Nullable TargetInstance target,
            double occupancy,
            String decider) {
        if (target == null) {
            mHandledGrants.recordUnused();
            return mLocalPlacement.place(request, "unknown-target");
        }
        // A coordinator of an older release does not know about versions.
        if (!request.mayRunAt(target)) {
            mHandledGrants.recordUnused();
            return mLocalPlacement.place(request, "other-version");
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
     * @param excluded incarnations to exclude in addition to those excluded before
     */
    private void askForAnother(String requestId, Set<String> excluded) {
        WaitingRequest waiting = mWaitingRequests.get(requestId);
        if (waiting != null) {
            mVertx.cancelTimer(waiting.timerId());
            retryPlacement(requestId, excluded);
        }
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
     * Handles a coordinator's grant for a waiting request or for a batch item. After a grant that
     * was given up, or for a target that is no longer ready, a request asks again; an item waits
     * for the next grant. A grant without a target rejects the request.
     */
    void onGrant(PlaceGrant grant) {
        if (grant.getTargetId().isEmpty()) {
            complete(grant, null);
            return;
        }
        if (!mHandledGrants.record(grant)) {
            askForAnother(grant.getRequestId(), Set.of());
            return;
        }
        TargetInstance target = readyTarget(grant.getTargetId());
        if (target == null) {
            mHandledGrants.recordUnused();
            TargetInstance known = mState.targets().get(grant.getTargetId());
            if (known != null) {
                askForAnother(grant.getRequestId(), Set.of(known.incarnation()));
            }
            return;
        }
        if (grant.getRequestId().isEmpty()) {
            runItem(grant.getServiceName(), target);
            return;
        }
        complete(grant, target);
    }

    private void runItem(String service, TargetInstance target) {
        if (mBatchWork.runOne(service, target)) {
            mLocalPlacement.recordItemGrant(service);
        } else {
            mHandledGrants.recordUnused();
        }
    }

    /**
     * Ends the wait of a request.
     *
     * @param target the granted target; null when the request is rejected
     */
    private void complete(PlaceGrant grant, @Nullable TargetInstance target) {
        WaitingRequest waiting = mWaitingRequests.remove(grant.getRequestId());
        if (waiting == null) {
            if (target != null) {
                mHandledGrants.recordUnused();
            }
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
        return mLocalPlacement.targetForItem(service, reservedSlots);
    }

    /** Registers the metrics of the placements. */
    void registerMetrics(ServingMetrics metrics) {
        metrics.gauge(
                "sesamepin_requests_waiting",
                "Requests of all hosts that wait here for a slot.",
                mLocalCoordinator::queuedRequests);
        metrics.gauge(
                "sesamepin_grants_unreported",
                "Grants of this coordinator that no report of their host contains yet.",
                mLocalCoordinator::unreportedGrants);
        metrics.counter(
                "sesamepin_grants_given_up",
                "Grants to this host that did not arrive in time.",
                mHandledGrants::givenUp);
    }
}
