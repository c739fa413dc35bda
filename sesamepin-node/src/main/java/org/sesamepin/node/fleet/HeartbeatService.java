package org.sesamepin.node.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.limit.DelegatedShares;
import org.sesamepin.core.limit.ShareDelegator;
import org.sesamepin.core.membership.Assignment;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.FetchShared;
import org.sesamepin.node.peer.generated.Heartbeat;
import org.sesamepin.node.peer.generated.HeartbeatReply;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.SharedReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges heartbeats with every other node. One round trip carries the states of both nodes, and
 * in the reply the confirmation of the sender's epoch and the delegation of the replying node's
 * share of the customers' rates to the sender. A node that learns of a newer bundle or assignment
 * fetches it from the peer that reported it.
 */
public final class HeartbeatService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatService.class);
    private static final long INTERVAL_MS = 250;
    private static final long CALL_TIMEOUT_MS = 700;

    private final Vertx mVertx;
    private final PeerClient mPeers;
    private final Ticker mTicker;
    private final FleetView mFleet;
    private final ShareLease mShareLease;
    private final ShareDelegator mShareDelegator;
    private final DelegatedShares mDelegatedShares;
    private final BundleManager mBundles;
    private final Supplier<HostState> mStateSupplier;
    private final Runnable mAfterRound;
    private long mTimer;

    /**
     * Creates the service; {@link #start} starts the heartbeats.
     *
     * @param state supplies the current state of this node
     * @param afterRound runs each time after heartbeats were sent to all peers
     */
    public HeartbeatService(
            Vertx vertx,
            PeerClient peers,
            Ticker ticker,
            FleetView fleet,
            ShareLease shareLease,
            ShareDelegator shareDelegator,
            DelegatedShares delegatedShares,
            BundleManager bundles,
            Supplier<HostState> state,
            Runnable afterRound) {
        mVertx = vertx;
        mPeers = peers;
        mTicker = ticker;
        mFleet = fleet;
        mShareLease = shareLease;
        mShareDelegator = shareDelegator;
        mDelegatedShares = delegatedShares;
        mBundles = bundles;
        mStateSupplier = state;
        mAfterRound = afterRound;
    }

    /** Registers the handlers of heartbeats and of fetches by other nodes. */
    public void registerHandlers(PeerServer server) {
        server.registerHandler(
                PeerRequest._Fields.HEARTBEAT, r -> handleHeartbeat(r.getHeartbeat()));
        server.registerHandler(
                PeerRequest._Fields.FETCH_SHARED, r -> handleFetchShared(r.getFetchShared()));
    }

    /** Starts sending heartbeats periodically; the first ones are sent at once. */
    public void start() {
        mTimer = mVertx.setPeriodic(0, INTERVAL_MS, t -> sendHeartbeats());
    }

    private void sendHeartbeats() {
        List<String> view = refreshView();
        HostState state = mStateSupplier.get();
        long now = mTicker.nanoTime();
        String self = mFleet.self();
        if (view.contains(self)) {
            mDelegatedShares.recordReply(
                    self, now, view, mShareDelegator.delegate(self, view), now);
        }
        PeerRequest request = PeerRequest.heartbeat(new Heartbeat(state));
        for (String address : mFleet.peerAddresses()) {
            long sentAt = mTicker.nanoTime();
            mPeers.call(address, request, CALL_TIMEOUT_MS)
                    .onSuccess(r -> onReply(address, view, r.getHeartbeat(), sentAt));
        }
        mAfterRound.run();
    }

    private List<String> refreshView() {
        List<String> previousView = mFleet.view();
        List<String> view = mFleet.refresh();
        if (!view.equals(previousView)) {
            LOG.info("step=peer-call view={}", view);
        }
        mShareDelegator.setView(view);
        return view;
    }

    private void onReply(String address, List<String> view, HeartbeatReply reply, long sentAt) {
        HostState sender = reply.getSender();
        if (mFleet.isSelf(sender.getHost())) {
            // One of the seed addresses can be the address of this node itself.
            return;
        }
        recordSender(address, sender);
        if (reply.isConsent()) {
            mShareLease.recordPeerConfirmation(sender.getHost(), sender.getEpoch(), sentAt);
        }
        ShareDelegator.Reply delegation =
                new ShareDelegator.Reply(
                        TimeUnit.MILLISECONDS.toNanos(reply.getDelegatedForMs()),
                        reply.getFraction(),
                        formerDelegations(reply),
                        List.copyOf(reply.getPreviousView()),
                        reply.getViewNumber());
        mDelegatedShares.recordReply(
                sender.getHost(), sentAt, view, delegation, mTicker.nanoTime());
    }

    private static Map<String, Long> formerDelegations(HeartbeatReply reply) {
        Map<String, Long> remainingNanos = new HashMap<>();
        reply.getLentElsewhereMs()
                .forEach((host, ms) -> remainingNanos.put(host, TimeUnit.MILLISECONDS.toNanos(ms)));
        return remainingNanos;
    }

    private Future<PeerReply> handleHeartbeat(Heartbeat heartbeat) {
        HostState sender = heartbeat.getSender();
        if (mFleet.isSelf(sender.getHost())) {
            HeartbeatReply ownReply = new HeartbeatReply();
            ownReply.setSender(mStateSupplier.get());
            ownReply.setPreviousView(List.of());
            ownReply.setLentElsewhereMs(Map.of());
            return Future.succeededFuture(PeerReply.heartbeat(ownReply));
        }
        recordSender(sender.getPeerAddress(), sender);
        refreshView();
        boolean epochConfirmed = mShareLease.confirmsEpoch(sender.getEpoch());
        ShareDelegator.Reply delegation =
                mShareDelegator.delegate(sender.getHost(), sender.getView());
        HeartbeatReply reply = new HeartbeatReply();
        reply.setSender(mStateSupplier.get());
        reply.setConsent(epochConfirmed);
        reply.setDelegatedForMs(TimeUnit.NANOSECONDS.toMillis(delegation.validNanos()));
        reply.setFraction(delegation.fraction());
        Map<String, Long> formerDelegationsMs = new HashMap<>();
        delegation
                .formerDelegations()
                .forEach(
                        (h, n) -> formerDelegationsMs.put(h, TimeUnit.NANOSECONDS.toMillis(n) + 1));
        reply.setLentElsewhereMs(formerDelegationsMs);
        reply.setPreviousView(delegation.previousView());
        reply.setViewNumber(delegation.viewNumber());
        return Future.succeededFuture(PeerReply.heartbeat(reply));
    }

    private void recordSender(String address, HostState sender) {
        mFleet.recordState(sender);
        mShareLease.recordRelease(
                sender.getHost(),
                sender.getReleasedEpoch(),
                sender.isSettled() && sender.getEpoch() == sender.getReleasedEpoch());
        boolean newerBundle = sender.getBundleVersion() > mBundles.current().version();
        boolean newerEpoch = sender.getEpoch() > mShareLease.assignment().epoch();
        if (newerBundle || newerEpoch) {
            fetchShared(address);
        }
    }

    private void fetchShared(String address) {
        FetchShared knownVersions =
                new FetchShared(mBundles.current().version(), mShareLease.assignment().epoch());
        mPeers.call(address, PeerRequest.fetchShared(knownVersions), CALL_TIMEOUT_MS)
                .onSuccess(r -> onSharedFetched(address, r.getShared()));
    }

    private void onSharedFetched(String address, SharedReply shared) {
        if (shared.isSetSignedBundle()) {
            mBundles.activateJsonIfNewer(shared.getSignedBundle(), address);
        }
        if (shared.isSetAssignment()) {
            try {
                mShareLease.adopt(Assignment.fromJson(shared.getAssignment()));
            } catch (SesamepinException e) {
                LOG.warn("step=peer-call peer={} message=\"{}\"", address, e.getMessage());
            }
        }
    }

    private Future<PeerReply> handleFetchShared(FetchShared knownVersions) {
        SharedReply reply = new SharedReply();
        SignedBundle signed = mBundles.signedBundle();
        if (signed != null && mBundles.current().version() > knownVersions.getBundleVersion()) {
            reply.setSignedBundle(signed.toJson());
        }
        Assignment assignment = mShareLease.assignment();
        if (assignment.epoch() > knownVersions.getEpoch()) {
            reply.setAssignment(assignment.toJson());
        }
        return Future.succeededFuture(PeerReply.shared(reply));
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
