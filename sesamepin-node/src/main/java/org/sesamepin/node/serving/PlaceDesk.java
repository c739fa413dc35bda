package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.target.Placement;
import org.sesamepin.core.target.ServiceCoordinator;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.peer.generated.PlaceAsk;
import org.sesamepin.node.peer.generated.PlaceGrant;
import org.sesamepin.node.peer.generated.PlaceOutcome;
import org.sesamepin.node.peer.generated.SuspendItem;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds targets for this host's requests. Each service whose targets run few requests at once has
 * one host that coordinates it: the others ask it for a place. While no coordinator answers, a host
 * chooses by itself from what the peers reported. Confined to the event loop.
 */
public final class PlaceDesk {
    private static final Logger LOG = LoggerFactory.getLogger(PlaceDesk.class);
    private static final long ASK_TIMEOUT_MS = 90;
    private static final long WAIT_MS = 400;
    private static final long PUMP_MS = 25;
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Requests of all hosts for each slot above which a target gets no online request. */
    private static final double MAX_OCCUPANCY = 2.0;

    private record Waiting(PlaceRequest request, Promise<PlaceResult> promise, long timer) {}

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final LoadTable mLoads;
    private final Placement mPlacement;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatch;
    private final Map<String, ServiceCoordinator> mCoordinators = new HashMap<>();
    private final Map<String, Waiting> mWaiting = new HashMap<>();
    private final Map<String, Long> mSuspectUntil = new HashMap<>();

    /** Creates a desk. */
    public PlaceDesk(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient client,
            LoadTable loads,
            Placement placement,
            ServingMetrics metrics,
            BatchWork batch) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mClient = client;
        mLoads = loads;
        mPlacement = placement;
        mMetrics = metrics;
        mBatch = batch;
    }

    /** Starts giving places to what waits at this host as a coordinator. */
    public void start() {
        mVertx.setPeriodic(PUMP_MS, t -> pumpAll());
    }

    /** Returns the host that coordinates {@code service}; empty when nobody does. */
    public String coordinator(String service) {
        ServiceSpec spec = mState.config().service(service);
        if (spec == null || spec.slots() == 0) {
            return "";
        }
        long now = mTicker.nanoTime();
        List<String> hosts = new ArrayList<>();
        hosts.add(mPeers.self());
        for (PeerTable.Peer peer : mPeers.reachable()) {
            Long suspect = mSuspectUntil.get(peer.name());
            if (suspect == null || now - suspect >= 0) {
                hosts.add(peer.name());
            }
        }
        String owner = Rendezvous.owner(service, hosts);
        return owner == null ? "" : owner;
    }

    /** Returns the peers that coordinate the services of the configuration. */
    List<PeerTable.Peer> coordinatingPeers() {
        Set<String> names = new HashSet<>();
        mState.config().services().forEach(spec -> names.add(coordinator(spec.name())));
        return mPeers.reachable().stream().filter(peer -> names.contains(peer.name())).toList();
    }

    /** Finds a place for an online request. */
    Future<PlaceResult> place(PlaceRequest request) {
        String coordinator = coordinator(request.service());
        if (coordinator.isEmpty()) {
            return Future.succeededFuture(chooseHere(request, "not-coordinated"));
        }
        if (coordinator.equals(mPeers.self())) {
            return answered(request, coordinate(ask(request, mPeers.self()), request.service()));
        }
        PeerTable.Peer peer = mPeers.find(coordinator);
        if (peer == null) {
            return Future.succeededFuture(chooseHere(request, "coordinator-gone"));
        }
        return mClient.call(peer.address(), PeerRequest.placeAsk(message(request)), ASK_TIMEOUT_MS)
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return answered(request, done.result().getPlaceAnswer(), peer);
                            }
                            suspect(peer, done.cause());
                            return Future.succeededFuture(chooseHere(request, "no-coordinator"));
                        });
    }

    private void suspect(PeerTable.Peer peer, Throwable cause) {
        mSuspectUntil.put(peer.name(), mTicker.nanoTime() + SUSPECT_NANOS);
        LOG.warn(
                "step=place coordinator={} outcome=no-answer cause={}",
                peer.name(),
                cause.getMessage());
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

    private ServiceCoordinator.Ask ask(PlaceRequest request, String host) {
        long now = mTicker.nanoTime();
        return new ServiceCoordinator.Ask(
                request.id(),
                host,
                request.rank(),
                request.returned(),
                TimeUnit.MILLISECONDS.toNanos(request.latencyMs()),
                now + TimeUnit.MILLISECONDS.toNanos(request.leftMs()),
                request.excluded());
    }

    /** Answers a host that asks this one as a coordinator. */
    PlaceAnswer answer(PlaceAsk message) {
        PlaceRequest request =
                new PlaceRequest(
                        message.getRequestId(),
                        message.getServiceName(),
                        message.getRank(),
                        message.isReturned(),
                        message.getLatencyMs(),
                        message.getLeftMs(),
                        new HashSet<>(message.getExcluded()));
        ServiceCoordinator.Answer answer =
                coordinate(ask(request, message.getHost()), request.service());
        ServiceCoordinator.Grant grant = answer.grant();
        if (grant != null) {
            return new PlaceAnswer(PlaceOutcome.GRANTED, grant.target().id(), grant.occupancy(), 0);
        }
        PlaceOutcome outcome = answer.refused() ? PlaceOutcome.REFUSED : PlaceOutcome.QUEUED;
        long retryMs = TimeUnit.NANOSECONDS.toMillis(answer.retryAfterNanos());
        return new PlaceAnswer(outcome, "", 0, retryMs);
    }

    private ServiceCoordinator.Answer coordinate(ServiceCoordinator.Ask ask, String service) {
        List<TargetInstance> targets = mState.targets().ready(service);
        ServiceCoordinator.Answer answer =
                of(service).ask(ask, targets, avoided(targets), mTicker.nanoTime());
        ServiceCoordinator.Grant grant = answer.grant();
        if (grant != null) {
            suspendFor(grant);
        }
        return answer;
    }

    private ServiceCoordinator of(String service) {
        return mCoordinators.computeIfAbsent(service, name -> new ServiceCoordinator());
    }

    private Set<String> avoided(List<TargetInstance> targets) {
        long now = mTicker.nanoTime();
        Set<String> avoided = new HashSet<>();
        for (TargetInstance target : targets) {
            if (mLoads.of(target).isSuspended(now)) {
                avoided.add(target.incarnation());
            }
        }
        return avoided.size() < targets.size() ? avoided : Set.of();
    }

    private void suspendFor(ServiceCoordinator.Grant grant) {
        if (grant.suspendAt().isEmpty()) {
            return;
        }
        mMetrics.preempted();
        if (grant.suspendAt().equals(mPeers.self())) {
            mBatch.suspendOne(grant.target());
            return;
        }
        PeerTable.Peer peer = mPeers.find(grant.suspendAt());
        if (peer != null) {
            tell(peer, PeerRequest.suspendItem(new SuspendItem(grant.target().id())));
        }
    }

    private void tell(PeerTable.Peer peer, PeerRequest request) {
        mClient.call(peer.address(), request, ASK_TIMEOUT_MS)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=place peer={} message={} outcome=lost cause={}",
                                        peer.name(),
                                        request.getSetField(),
                                        e.getMessage()));
    }

    private Future<PlaceResult> answered(PlaceRequest request, ServiceCoordinator.Answer answer) {
        ServiceCoordinator.Grant grant = answer.grant();
        if (grant != null) {
            return Future.succeededFuture(
                    new PlaceResult(grant.target(), grant.occupancy(), 0, mPeers.self()));
        }
        if (answer.refused()) {
            long retryMs = TimeUnit.NANOSECONDS.toMillis(answer.retryAfterNanos());
            return Future.succeededFuture(new PlaceResult(null, 0, retryMs, mPeers.self()));
        }
        return await(request);
    }

    private Future<PlaceResult> answered(
            PlaceRequest request, PlaceAnswer answer, PeerTable.Peer peer) {
        return switch (answer.getOutcome()) {
            case GRANTED -> {
                TargetInstance target = mState.targets().get(answer.getTargetId());
                yield Future.succeededFuture(
                        target == null
                                ? chooseHere(request, "unknown-target")
                                : new PlaceResult(target, answer.getOccupancy(), 0, peer.name()));
            }
            case REFUSED ->
                    Future.succeededFuture(
                            new PlaceResult(null, 0, answer.getRetryAfterMs(), peer.name()));
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
        of(waiting.request().service()).withdraw(id);
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
            of(service).withdraw(id);
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

    /** Takes in a host's report, this host's own included. */
    void reported(HostReport report) {
        for (ServiceSpec spec : mState.config().services()) {
            if (coordinator(spec.name()).equals(mPeers.self())) {
                reported(spec.name(), report);
                pump(spec.name());
            }
        }
    }

    private void reported(String service, HostReport report) {
        Map<String, Integer> online = new HashMap<>();
        Map<String, Integer> batch = new HashMap<>();
        for (InFlight entry : report.getInFlight()) {
            online.put(entry.getTarget(), entry.getOnline());
            batch.put(entry.getTarget(), entry.getBatch());
        }
        long now = mTicker.nanoTime();
        int waiting = report.getWaitingItems().getOrDefault(service, 0);
        long due = now + TimeUnit.MILLISECONDS.toNanos(report.getDueInMs());
        of(service).reported(report.getHost(), online, batch, waiting, due, now);
    }

    /** Takes in how long an online request of {@code service} took. */
    void observeService(String service, long nanos) {
        of(service).observeService(nanos);
    }

    private void pumpAll() {
        for (ServiceSpec spec : mState.config().services()) {
            if (coordinator(spec.name()).equals(mPeers.self())) {
                pump(spec.name());
            }
        }
    }

    private void pump(String service) {
        List<TargetInstance> targets = mState.targets().ready(service);
        List<ServiceCoordinator.Grant> grants =
                of(service).grants(targets, avoided(targets), mTicker.nanoTime());
        for (ServiceCoordinator.Grant grant : grants) {
            suspendFor(grant);
            PlaceGrant message =
                    new PlaceGrant(grant.askId(), service, grant.target().id(), grant.occupancy());
            PeerTable.Peer peer = mPeers.find(grant.host());
            if (grant.host().equals(mPeers.self())) {
                granted(message);
            } else if (peer != null) {
                tell(peer, PeerRequest.placeGrant(message));
            }
        }
    }

    /**
     * Returns a target with a slot free for a batch item of a service that no host coordinates, or
     * null.
     *
     * @param reserved slots that stay free beside the item
     */
    public @Nullable TargetInstance uncoordinatedTarget(String service, int reserved) {
        if (!coordinator(service).isEmpty()) {
            return null;
        }
        List<TargetInstance> targets = mState.targets().ready(service);
        long now = mTicker.nanoTime();
        Placement.Choice choice = mPlacement.batch(targets, Set.of(), reserved, now);
        return choice == null ? null : choice.target();
    }

    private PlaceResult chooseHere(PlaceRequest request, String why) {
        List<TargetInstance> targets = mState.targets().ready(request.service());
        long now = mTicker.nanoTime();
        Placement.Choice choice = mPlacement.online(targets, request.excluded(), now);
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
        TargetInstance target = mPlacement.preemptible(targets, mTicker.nanoTime());
        boolean tried = target != null && request.excluded().contains(target.incarnation());
        if (target == null || tried || !mBatch.suspendOne(target)) {
            return null;
        }
        mMetrics.preempted();
        return target;
    }
}
