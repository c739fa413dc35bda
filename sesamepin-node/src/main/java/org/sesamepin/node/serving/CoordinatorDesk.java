package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sesamepin.core.serving.ServiceSpec;
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
 * Places the requests of all hosts on the targets of the services that this host coordinates.
 * Confined to the event loop.
 */
final class CoordinatorDesk {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorDesk.class);
    private static final long PUMP_MS = 25;
    private static final long TELL_TIMEOUT_MS = 90;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatch;
    private final CoordinatorLookup mLookup;
    private final Map<String, ServiceCoordinator> mCoordinators = new HashMap<>();
    private Consumer<PlaceGrant> mOwnGrants = grant -> {};

    CoordinatorDesk(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient client,
            ServingMetrics metrics,
            BatchWork batch,
            CoordinatorLookup lookup) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mClient = client;
        mMetrics = metrics;
        mBatch = batch;
        mLookup = lookup;
    }

    /**
     * Starts giving places to what waits.
     *
     * @param ownGrants takes in grants for requests and items of this host
     */
    void start(Consumer<PlaceGrant> ownGrants) {
        mOwnGrants = ownGrants;
        mVertx.setPeriodic(PUMP_MS, t -> pumpAll());
    }

    /** Answers a host that asks for a place, this host included. */
    PlaceAnswer answer(PlaceAsk message) {
        ServiceCoordinator.Reply answer = coordinate(decode(message), message.getServiceName());
        ServiceCoordinator.Grant grant = answer.grant();
        if (grant != null) {
            return new PlaceAnswer(PlaceOutcome.GRANTED, grant.target().id(), grant.occupancy(), 0);
        }
        PlaceOutcome outcome = answer.rejected() ? PlaceOutcome.REFUSED : PlaceOutcome.QUEUED;
        long retryMs = TimeUnit.NANOSECONDS.toMillis(answer.retryAfterNanos());
        return new PlaceAnswer(outcome, "", 0, retryMs);
    }

    private ServiceCoordinator.Request decode(PlaceAsk message) {
        long left = TimeUnit.MILLISECONDS.toNanos(message.getLeftMs());
        return new ServiceCoordinator.Request(
                message.getRequestId(),
                message.getHost(),
                message.getRank(),
                message.isReturned(),
                TimeUnit.MILLISECONDS.toNanos(message.getLatencyMs()),
                mTicker.nanoTime() + left,
                new HashSet<>(message.getExcluded()));
    }

    /** Returns the number of requests that wait for a slot. */
    int queued() {
        return mCoordinators.values().stream().mapToInt(ServiceCoordinator::queueLength).sum();
    }

    /** Forgets a request that waits here. */
    void withdraw(String id, String service) {
        of(service).withdraw(id);
    }

    private ServiceCoordinator.Reply coordinate(ServiceCoordinator.Request ask, String service) {
        List<TargetInstance> targets = mState.targets().readyTargets(service);
        ServiceCoordinator.Reply answer =
                of(service).requestPlacement(ask, targets, mTicker.nanoTime());
        ServiceCoordinator.Grant grant = answer.grant();
        if (grant != null) {
            suspendFor(grant);
        }
        return answer;
    }

    private ServiceCoordinator of(String service) {
        return mCoordinators.computeIfAbsent(service, name -> new ServiceCoordinator());
    }

    private void suspendFor(ServiceCoordinator.Grant grant) {
        if (grant.suspendingHost().isEmpty()) {
            return;
        }
        mMetrics.preempted();
        if (grant.suspendingHost().equals(mPeers.self())) {
            mBatch.suspendOne(grant.target());
            return;
        }
        PeerTable.Peer peer = mPeers.find(grant.suspendingHost());
        if (peer != null) {
            tell(peer, PeerRequest.suspendItem(new SuspendItem(grant.target().id())));
        }
    }

    private void tell(PeerTable.Peer peer, PeerRequest request) {
        mClient.call(peer.address(), request, TELL_TIMEOUT_MS)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=place peer={} message={} outcome=lost cause={}",
                                        peer.name(),
                                        request.getSetField(),
                                        e.getMessage()));
    }

    /** Takes in a host's report, this host's own included. */
    void reported(HostReport report) {
        for (ServiceSpec spec : mState.config().services()) {
            if (mLookup.isSelf(spec.name())) {
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
        Set<String> failing = new HashSet<>(report.getFailing());
        of(service)
                .recordReport(
                        new ServiceCoordinator.HostStatus(
                                report.getHost(),
                                online,
                                batch,
                                failing,
                                report.getEventMs(),
                                waiting,
                                due),
                        now);
    }

    /** Takes in how long an online request of {@code service} took. */
    void observeService(String service, long nanos) {
        of(service).recordServiceTime(nanos);
    }

    private void pumpAll() {
        for (ServiceSpec spec : mState.config().services()) {
            if (mLookup.isSelf(spec.name())) {
                pump(spec.name());
            }
        }
    }

    private void pump(String service) {
        List<TargetInstance> targets = mState.targets().readyTargets(service);
        List<ServiceCoordinator.Grant> grants =
                of(service).placeWaiting(targets, mTicker.nanoTime());
        for (ServiceCoordinator.Grant grant : grants) {
            suspendFor(grant);
            PlaceGrant message =
                    new PlaceGrant(
                            grant.requestId(), service, grant.target().id(), grant.occupancy());
            PeerTable.Peer peer = mPeers.find(grant.host());
            if (grant.host().equals(mPeers.self())) {
                mOwnGrants.accept(message);
            } else if (peer != null) {
                tell(peer, PeerRequest.placeGrant(message));
            }
        }
    }
}
