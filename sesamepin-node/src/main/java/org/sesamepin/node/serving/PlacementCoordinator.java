package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.target.GrantReceipt;
import org.sesamepin.core.target.ReportStamp;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.ServiceCoordinator;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetPaces;
import org.sesamepin.core.target.TargetRateLimits;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.EndedRequest;
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
final class PlacementCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementCoordinator.class);
    private static final long GRANT_INTERVAL_MS = 25;
    private static final long NOTIFY_TIMEOUT_MS = 400;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final ServingMetrics mMetrics;
    private final BatchWork mBatchWork;
    private final CoordinatorLookup mCoordinatorLookup;
    private final TargetRateLimits mLimits;
    private final TargetPaces mPaces;
    private final Map<String, ServiceCoordinator> mCoordinators = new HashMap<>();

    /** Tells the grants of this process from those of a former one of the same host. */
    private final long mEpoch = ThreadLocalRandom.current().nextLong();

    private Consumer<PlaceGrant> mLocalGrantHandler = grant -> {};

    PlacementCoordinator(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient peerClient,
            ServingMetrics metrics,
            BatchWork batchWork,
            CoordinatorLookup coordinatorLookup,
            TargetRateLimits limits,
            TargetPaces paces) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
        mMetrics = metrics;
        mBatchWork = batchWork;
        mCoordinatorLookup = coordinatorLookup;
        mLimits = limits;
        mPaces = paces;
    }

    /**
     * Starts granting placements to waiting requests and items at regular intervals.
     *
     * @param localGrantHandler handles the grants for requests and items of this host
     */
    void start(Consumer<PlaceGrant> localGrantHandler) {
        mLocalGrantHandler = localGrantHandler;
        mVertx.setPeriodic(GRANT_INTERVAL_MS, t -> grantAllWaiting());
    }

    /** Handles the placement request of a host, which may be this host itself. */
    PlaceAnswer handleRequest(PlaceAsk message) {
        String service = message.getServiceName();
        if (message.isSetEnded()) {
            message.getEnded().forEach(ended -> recordEnded(service, ended));
        }
        ServiceCoordinator.Reply reply = requestPlacement(decode(message), service);
        ServiceCoordinator.Grant grant = reply.grant();
        if (grant != null) {
            return new PlaceAnswer(PlaceOutcome.GRANTED, grant.target().id(), grant.occupancy(), 0)
                    .setEpoch(mEpoch)
                    .setNumber(grant.number());
        }
        PlaceOutcome outcome = reply.rejected() ? PlaceOutcome.REFUSED : PlaceOutcome.QUEUED;
        long retryMs = TimeUnit.NANOSECONDS.toMillis(reply.retryAfterNanos());
        return new PlaceAnswer(outcome, "", 0, retryMs);
    }

    private ServiceCoordinator.Request decode(PlaceAsk message) {
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(message.getLeftMs());
        return new ServiceCoordinator.Request(
                message.getRequestId(),
                message.getHost(),
                message.getRank(),
                message.isReturned(),
                TimeUnit.MILLISECONDS.toNanos(message.getLatencyMs()),
                mTicker.nanoTime() + remainingNanos,
                new HashSet<>(message.getExcluded()),
                message.isSetVersion() ? message.getVersion() : null,
                message.isSetRoute() ? message.getRoute() : "",
                new RequestSize(message.getPromptTokens(), message.getMaxOutputTokens()));
    }

    /** Returns the number of grants that no report of their host contains yet. */
    int unreportedGrants() {
        return mCoordinators.values().stream().mapToInt(ServiceCoordinator::unreportedGrants).sum();
    }

    /** Returns the number of requests that wait for a slot. */
    int queuedRequests() {
        return mCoordinators.values().stream().mapToInt(ServiceCoordinator::queueLength).sum();
    }

    /** Removes a request that waits here. */
    void withdraw(String requestId, String service) {
        coordinatorFor(service).withdraw(requestId);
    }

    private ServiceCoordinator.Reply requestPlacement(
            ServiceCoordinator.Request request, String service) {
        List<TargetInstance> targets = mState.targets().readyTargets(service);
        ServiceCoordinator.Reply reply =
                coordinatorFor(service).requestPlacement(request, targets, mTicker.nanoTime());
        ServiceCoordinator.Grant grant = reply.grant();
        if (grant != null) {
            suspendItemFor(grant);
        }
        return reply;
    }

    private ServiceCoordinator coordinatorFor(String service) {
        return mCoordinators.computeIfAbsent(
                service, name -> new ServiceCoordinator(mLimits, mPaces));
    }

    private void suspendItemFor(ServiceCoordinator.Grant grant) {
        if (grant.suspendingHost().isEmpty()) {
            return;
        }
        mMetrics.countPreemption();
        if (grant.suspendingHost().equals(mPeers.self())) {
            mBatchWork.suspendOne(grant.target());
            return;
        }
        PeerTable.Peer peer = mPeers.find(grant.suspendingHost());
        if (peer != null) {
            send(peer, PeerRequest.suspendItem(new SuspendItem(grant.target().id())));
        }
    }

    private void send(PeerTable.Peer peer, PeerRequest request) {
        mPeerClient
                .call(peer.address(), request, NOTIFY_TIMEOUT_MS)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=place peer={} message={} outcome=lost cause={}",
                                        peer.name(),
                                        request.getSetField(),
                                        e.getMessage()));
    }

    /**
     * Records a host's report, this host's own included, and grants the placements that it makes
     * possible.
     */
    void recordReport(HostReport report) {
        for (ServiceSpec spec : mState.config().services()) {
            if (mCoordinatorLookup.isCoordinatedHere(spec.name())) {
                recordReport(spec.name(), report);
                grantWaiting(spec.name());
            }
        }
    }

    private void recordReport(String service, HostReport report) {
        Map<String, Integer> online = new HashMap<>();
        Map<String, Integer> batch = new HashMap<>();
        for (InFlight entry : report.getInFlight()) {
            online.put(entry.getTarget(), entry.getOnline());
            batch.put(entry.getTarget(), entry.getBatch());
        }
        long now = mTicker.nanoTime();
        int waitingItems = report.getWaitingItems().getOrDefault(service, 0);
        long dueAt = now + TimeUnit.MILLISECONDS.toNanos(report.getDueInMs());
        Set<String> failing = new HashSet<>(report.getFailing());
        coordinatorFor(service)
                .recordReport(
                        new ServiceCoordinator.HostStatus(
                                report.getHost(),
                                online,
                                batch,
                                failing,
                                report.getEventMs(),
                                waitingItems,
                                dueAt,
                                stampOf(service, report)),
                        now);
    }

    /** Returns the stamp of a report; null when its host is of a version without stamps. */
    private @Nullable ReportStamp stampOf(String service, HostReport report) {
        if (!report.isSetSequence() || !report.isSetGrantReceipts()) {
            return null;
        }
        GrantReceipt receipt = GrantReceipt.NONE;
        for (org.sesamepin.node.peer.generated.GrantReceipt entry : report.getGrantReceipts()) {
            if (entry.getEpoch() == mEpoch && entry.getServiceName().equals(service)) {
                receipt = new GrantReceipt(entry.getUpTo(), entry.getBeyond());
            }
        }
        return new ReportStamp(report.getIncarnation(), report.getSequence(), receipt);
    }

    /** Records how long an online request of {@code service} took, nanoseconds. */
    void recordServiceTime(String service, long nanos) {
        coordinatorFor(service).recordServiceTime(nanos);
    }

    /** Records a request of {@code service} that has ended at any host. */
    void recordEnded(String service, EndedRequest ended) {
        coordinatorFor(service)
                .recordEnded(
                        ended.getRoute(),
                        new RequestSize(ended.getPromptTokens(), ended.getMaxOutputTokens()),
                        ended.getTarget(),
                        ended.getElapsedMs(),
                        mState.targets().readyTargets(service));
    }

    private void grantAllWaiting() {
        for (ServiceSpec spec : mState.config().services()) {
            if (mCoordinatorLookup.isCoordinatedHere(spec.name())) {
                grantWaiting(spec.name());
            }
        }
    }

    private void grantWaiting(String service) {
        List<TargetInstance> targets = mState.targets().readyTargets(service);
        List<ServiceCoordinator.Grant> grants =
                coordinatorFor(service).placeWaiting(targets, mTicker.nanoTime());
        for (ServiceCoordinator.Grant grant : grants) {
            suspendItemFor(grant);
            notifyHost(
                    grant.host(),
                    new PlaceGrant(
                                    grant.requestId(),
                                    service,
                                    grant.target().id(),
                                    grant.occupancy())
                            .setEpoch(mEpoch)
                            .setNumber(grant.number()));
        }
        for (ServiceCoordinator.Request request :
                coordinatorFor(service).rejectWithoutTarget(targets)) {
            notifyHost(request.host(), new PlaceGrant(request.requestId(), service, "", 0));
        }
    }

    private void notifyHost(String host, PlaceGrant message) {
        PeerTable.Peer peer = mPeers.find(host);
        if (host.equals(mPeers.self())) {
            mLocalGrantHandler.accept(message);
        } else if (peer != null) {
            send(peer, PeerRequest.placeGrant(message));
        }
    }
}
