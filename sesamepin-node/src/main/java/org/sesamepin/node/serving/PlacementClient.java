package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.Placement;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.peer.generated.PlaceAsk;
import org.sesamepin.node.peer.generated.PlaceGrant;
import org.sesamepin.node.peer.generated.SuspendItem;

/**
 * Finds targets for this host's requests. Each service whose targets run few requests at once has
 * one host that coordinates it: the others ask it for a place. While no coordinator answers, a host
 * chooses by itself from what the peers reported. Confined to the event loop.
 */
public final class PlacementClient {
    private static final long PLACEMENT_TIMEOUT_MS = 90;
    private static final long GRANT_WAIT_MS = 400;

    /** Requests of all hosts for each slot above which a target gets no online request. */
    private static final double MAX_ONLINE_OCCUPANCY = 2.0;

    private record WaitingRequest(
            PlacementRequest request, Promise<PlacementResult> promise, long timerId) {}

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final Placement mPlacement;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatchWork;
    private final CoordinatorLookup mCoordinatorLookup;
    private final PlacementCoordinator mLocalCoordinator;
    private final Map<String, WaitingRequest> mWaitingRequests = new HashMap<>();

    /** Creates a desk. */
    public PlacementClient(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient client,
            Placement placement,
            ServingMetrics metrics,
            BatchWork batch) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = client;
        mPlacement = placement;
        mMetrics = metrics;
        mBatchWork = batch;
        mCoordinatorLookup = new CoordinatorLookup(ticker, state, peers);
        mLocalCoordinator =
                new PlacementCoordinator(
                        vertx, ticker, state, peers, client, metrics, batch, mCoordinatorLookup);
    }

    /** Starts giving places to what waits at this host as a coordinator. */
    public void start() {
        mLocalCoordinator.start(this::onGrant);
    }

    /** Returns the peers that coordinate the services of the configuration. */
    List<PeerTable.Peer> coordinatingPeers() {
        return mCoordinatorLookup.coordinatingPeers();
    }

    /** Returns what places the requests of the services that this host coordinates. */
    PlacementCoordinator localCoordinator() {
        return mLocalCoordinator;
    }

    /** Finds a place for an online request. */
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
        return mPeerClient
                .call(
                        peer.address(),
                        PeerRequest.placeAsk(toMessage(request)),
                        PLACEMENT_TIMEOUT_MS)
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return handleReply(
                                        request, done.result().getPlaceAnswer(), peer.name());
                            }
                            mCoordinatorLookup.markSuspect(peer, done.cause());
                            return Future.succeededFuture(placeLocally(request, "no-coordinator"));
                        });
    }

    private PlaceAsk toMessage(PlacementRequest request) {
        return new PlaceAsk(
                request.id(),
                mPeers.self(),
                request.service(),
                request.rank(),
                request.retried(),
                request.latencyMs(),
                request.remainingMs(),
                List.copyOf(request.excluded()));
    }

    private Future<PlacementResult> handleReply(
            PlacementRequest request, PlaceAnswer answer, String decider) {
        return switch (answer.getOutcome()) {
            case GRANTED -> {
                TargetInstance target = mState.targets().get(answer.getTargetId());
                yield Future.succeededFuture(
                        target == null
                                ? placeLocally(request, "unknown-target")
                                : new PlacementResult(target, answer.getOccupancy(), 0, decider));
            }
            case REFUSED ->
                    Future.succeededFuture(
                            new PlacementResult(null, 0, answer.getRetryAfterMs(), decider));
            case QUEUED -> awaitGrant(request);
            case NOT_COORDINATOR ->
                    Future.succeededFuture(placeLocally(request, "not-coordinator"));
        };
    }

    /** Waits for the coordinator's grant; asks again when it stays silent. */
    private Future<PlacementResult> awaitGrant(PlacementRequest request) {
        Promise<PlacementResult> promise = Promise.promise();
        long timer = mVertx.setTimer(GRANT_WAIT_MS, t -> retryPlacement(request.id()));
        mWaitingRequests.put(request.id(), new WaitingRequest(request, promise, timer));
        return promise.future();
    }

    private void retryPlacement(String id) {
        WaitingRequest waiting = mWaitingRequests.remove(id);
        if (waiting == null) {
            return;
        }
        mLocalCoordinator.withdraw(id, waiting.request().service());
        PlacementRequest former = waiting.request();
        PlacementRequest request =
                new PlacementRequest(
                        id,
                        former.service(),
                        former.rank(),
                        true,
                        former.latencyMs(),
                        Math.max(0, former.remainingMs() - GRANT_WAIT_MS),
                        former.excluded());
        place(request).onComplete(waiting.promise());
    }

    /** Forgets a request whose caller left. */
    void withdraw(String id, String service) {
        WaitingRequest waiting = mWaitingRequests.remove(id);
        if (waiting != null) {
            mVertx.cancelTimer(waiting.timerId());
            mLocalCoordinator.withdraw(id, service);
        }
    }

    /** Takes in a coordinator's grant for a request that waited, or for a batch item. */
    void onGrant(PlaceGrant grant) {
        TargetInstance target = mState.targets().get(grant.getTargetId());
        if (target == null || !mState.targets().isReady(target)) {
            return;
        }
        if (grant.getRequestId().isEmpty()) {
            mBatchWork.runOne(grant.getServiceName(), target);
            return;
        }
        WaitingRequest waiting = mWaitingRequests.remove(grant.getRequestId());
        if (waiting != null) {
            mVertx.cancelTimer(waiting.timerId());
            waiting.promise()
                    .complete(
                            new PlacementResult(target, grant.getOccupancy(), 0, "after-waiting"));
        }
    }

    /** Suspends an item for a coordinator that gave its slot to an online request. */
    void onSuspendRequest(SuspendItem message) {
        TargetInstance target = mState.targets().get(message.getTargetId());
        if (target != null) {
            mBatchWork.suspendOne(target);
        }
    }

    /**
     * Returns a target with a slot free for a batch item of a service that no host coordinates, or
     * null.
     *
     * @param reserved slots that stay free beside the item
     */
    public @Nullable TargetInstance uncoordinatedTarget(String service, int reserved) {
        if (!mCoordinatorLookup.coordinatorOf(service).isEmpty()) {
            return null;
        }
        List<TargetInstance> targets = mState.targets().ready(service);
        long now = mTicker.nanoTime();
        Placement.Choice choice = mPlacement.batch(targets, Set.of(), reserved, now);
        return choice == null ? null : choice.target();
    }

    private PlacementResult placeLocally(PlacementRequest request, String why) {
        List<TargetInstance> targets = mState.targets().ready(request.service());
        long now = mTicker.nanoTime();
        Placement.Choice choice = mPlacement.online(targets, request.excluded(), now);
        if (choice == null) {
            return new PlacementResult(null, 0, 0, why);
        }
        if (choice.occupancy() >= 1) {
            TargetInstance preempted = preemptItem(targets, request);
            if (preempted != null) {
                return new PlacementResult(preempted, 1, 0, why);
            }
        }
        if (choice.occupancy() >= MAX_ONLINE_OCCUPANCY) {
            return new PlacementResult(null, choice.occupancy(), 0, why);
        }
        return new PlacementResult(choice.target(), choice.occupancy(), 0, why);
    }

    private @Nullable TargetInstance preemptItem(
            List<TargetInstance> targets, PlacementRequest request) {
        TargetInstance target = mPlacement.preemptible(targets, mTicker.nanoTime());
        boolean tried = target != null && request.excluded().contains(target.incarnation());
        if (target == null || tried || !mBatchWork.suspendOne(target)) {
            return null;
        }
        mMetrics.countPreemption();
        return target;
    }
}
