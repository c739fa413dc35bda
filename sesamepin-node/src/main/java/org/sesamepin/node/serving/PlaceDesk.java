package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetSelector;
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
public final class PlaceDesk {
    private static final long ASK_TIMEOUT_MS = 90;
    private static final long WAIT_MS = 400;

    /** Requests of all hosts for each slot above which a target gets no online request. */
    private static final double MAX_OCCUPANCY = 2.0;

    private record Waiting(PlaceRequest request, Promise<PlaceResult> promise, long timer) {}

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final TargetSelector mPlacement;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatch;
    private final CoordinatorLookup mLookup;
    private final CoordinatorDesk mCoordinator;
    private final Map<String, Waiting> mWaiting = new HashMap<>();

    /** Creates a desk. */
    public PlaceDesk(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient client,
            TargetSelector placement,
            ServingMetrics metrics,
            BatchWork batch) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mClient = client;
        mPlacement = placement;
        mMetrics = metrics;
        mBatch = batch;
        mLookup = new CoordinatorLookup(ticker, state, peers);
        mCoordinator =
                new CoordinatorDesk(vertx, ticker, state, peers, client, metrics, batch, mLookup);
    }

    /** Starts giving places to what waits at this host as a coordinator. */
    public void start() {
        mCoordinator.start(this::granted);
    }

    /** Returns the peers that coordinate the services of the configuration. */
    List<PeerTable.Peer> coordinatingPeers() {
        return mLookup.peers();
    }

    /** Returns what places the requests of the services that this host coordinates. */
    CoordinatorDesk coordinator() {
        return mCoordinator;
    }

    /** Finds a place for an online request. */
    Future<PlaceResult> place(PlaceRequest request) {
        String coordinator = mLookup.coordinator(request.service());
        if (coordinator.isEmpty()) {
            return Future.succeededFuture(chooseHere(request, "not-coordinated"));
        }
        if (coordinator.equals(mPeers.self())) {
            return answered(request, mCoordinator.answer(message(request)), mPeers.self());
        }
        PeerTable.Peer peer = mPeers.find(coordinator);
        if (peer == null) {
            return Future.succeededFuture(chooseHere(request, "coordinator-gone"));
        }
        return mClient.call(peer.address(), PeerRequest.placeAsk(message(request)), ASK_TIMEOUT_MS)
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return answered(
                                        request, done.result().getPlaceAnswer(), peer.name());
                            }
                            mLookup.suspect(peer, done.cause());
                            return Future.succeededFuture(chooseHere(request, "no-coordinator"));
                        });
    }

    private PlaceAsk message(PlaceRequest request) {
        return new PlaceAsk(
                request.id(),
                mPeers.self(),
                request.service(),
                request.rank(),
                request.returned(),
                request.latencyMs(),
                request.leftMs(),
                List.copyOf(request.excluded()));
    }

    private Future<PlaceResult> answered(PlaceRequest request, PlaceAnswer answer, String decider) {
        return switch (answer.getOutcome()) {
            case GRANTED -> {
                TargetInstance target = mState.targets().get(answer.getTargetId());
                yield Future.succeededFuture(
                        target == null
                                ? chooseHere(request, "unknown-target")
                                : new PlaceResult(target, answer.getOccupancy(), 0, decider));
            }
            case REFUSED ->
                    Future.succeededFuture(
                            new PlaceResult(null, 0, answer.getRetryAfterMs(), decider));
            case QUEUED -> await(request);
            case NOT_COORDINATOR -> Future.succeededFuture(chooseHere(request, "not-coordinator"));
        };
    }

    /** Waits for the coordinator's grant; asks again when it stays silent. */
    private Future<PlaceResult> await(PlaceRequest request) {
        Promise<PlaceResult> promise = Promise.promise();
        long timer = mVertx.setTimer(WAIT_MS, t -> askAgain(request.id()));
        mWaiting.put(request.id(), new Waiting(request, promise, timer));
        return promise.future();
    }

    private void askAgain(String id) {
        Waiting waiting = mWaiting.remove(id);
        if (waiting == null) {
            return;
        }
        mCoordinator.withdraw(id, waiting.request().service());
        PlaceRequest former = waiting.request();
        PlaceRequest request =
                new PlaceRequest(
                        id,
                        former.service(),
                        former.rank(),
                        true,
                        former.latencyMs(),
                        Math.max(0, former.leftMs() - WAIT_MS),
                        former.excluded());
        place(request).onComplete(waiting.promise());
    }

    /** Forgets a request whose caller left. */
    void withdraw(String id, String service) {
        Waiting waiting = mWaiting.remove(id);
        if (waiting != null) {
            mVertx.cancelTimer(waiting.timer());
            mCoordinator.withdraw(id, service);
        }
    }

    /** Takes in a coordinator's grant for a request that waited, or for a batch item. */
    void granted(PlaceGrant grant) {
        TargetInstance target = mState.targets().get(grant.getTargetId());
        if (target == null || !mState.targets().isReady(target)) {
            return;
        }
        if (grant.getRequestId().isEmpty()) {
            mBatch.runOne(grant.getServiceName(), target);
            return;
        }
        Waiting waiting = mWaiting.remove(grant.getRequestId());
        if (waiting != null) {
            mVertx.cancelTimer(waiting.timer());
            waiting.promise()
                    .complete(new PlaceResult(target, grant.getOccupancy(), 0, "after-waiting"));
        }
    }

    /** Suspends an item for a coordinator that gave its slot to an online request. */
    void suspend(SuspendItem message) {
        TargetInstance target = mState.targets().get(message.getTargetId());
        if (target != null) {
            mBatch.suspendOne(target);
        }
    }

    /**
     * Returns a target with a slot free for a batch item of a service that no host coordinates, or
     * null.
     *
     * @param reserved slots that stay free beside the item
     */
    public @Nullable TargetInstance uncoordinatedTarget(String service, int reserved) {
        if (!mLookup.coordinator(service).isEmpty()) {
            return null;
        }
        List<TargetInstance> targets = mState.targets().readyTargets(service);
        long now = mTicker.nanoTime();
        TargetSelector.Choice choice = mPlacement.selectForBatch(targets, Set.of(), reserved, now);
        return choice == null ? null : choice.target();
    }

    private PlaceResult chooseHere(PlaceRequest request, String why) {
        List<TargetInstance> targets = mState.targets().readyTargets(request.service());
        long now = mTicker.nanoTime();
        TargetSelector.Choice choice = mPlacement.selectForOnline(targets, request.excluded(), now);
        if (choice == null) {
            return new PlaceResult(null, 0, 0, why);
        }
        if (choice.occupancy() >= 1) {
            TargetInstance preempted = preempted(targets, request);
            if (preempted != null) {
                return new PlaceResult(preempted, 1, 0, why);
            }
        }
        if (choice.occupancy() >= MAX_OCCUPANCY) {
            return new PlaceResult(null, choice.occupancy(), 0, why);
        }
        return new PlaceResult(choice.target(), choice.occupancy(), 0, why);
    }

    private @Nullable TargetInstance preempted(List<TargetInstance> targets, PlaceRequest request) {
        TargetInstance target = mPlacement.selectForPreemption(targets, mTicker.nanoTime());
        boolean tried = target != null && request.excluded().contains(target.incarnation());
        if (target == null || tried || !mBatch.suspendOne(target)) {
            return null;
        }
        mMetrics.preempted();
        return target;
    }
}
