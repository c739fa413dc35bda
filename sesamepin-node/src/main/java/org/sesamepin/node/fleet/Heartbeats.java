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
 * Exchanges heartbeats with every other node. One round trip carries what a node says of itself,
 * the consent to act on an epoch, and the delegation of its share of the customers' rates; a node
 * that hears of a newer bundle or assignment fetches it.
 */
public final class Heartbeats implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Heartbeats.class);
    private static final long INTERVAL_MS = 250;
    private static final long TIMEOUT_MS = 700;

    private final Vertx mVertx;
    private final PeerClient mPeers;
    private final Ticker mTicker;
    private final FleetView mFleet;
    private final ShareLease mTenure;
    private final ShareDelegator mDelegator;
    private final DelegatedShares mDelegations;
    private final BundleManager mBundles;
    private final Supplier<HostState> mState;
    private final Runnable mAfterRound;
    private long mTimer;

    /**
     * Creates the exchange.
     *
     * @param state makes what this node says of itself
     * @param afterRound runs after each round of heartbeats was sent
     */
    public Heartbeats(
            Vertx vertx,
            PeerClient peers,
            Ticker ticker,
            FleetView fleet,
            ShareLease tenure,
            ShareDelegator delegator,
            DelegatedShares delegations,
            BundleManager bundles,
            Supplier<HostState> state,
            Runnable afterRound) {
        mVertx = vertx;
        mPeers = peers;
        mTicker = ticker;
        mFleet = fleet;
        mTenure = tenure;
        mDelegator = delegator;
        mDelegations = delegations;
        mBundles = bundles;
        mState = state;
        mAfterRound = afterRound;
    }

    /** Registers the calls that this node answers. */
    public void register(PeerServer server) {
        server.on(PeerRequest._Fields.HEARTBEAT, r -> answer(r.getHeartbeat()));
        server.on(PeerRequest._Fields.FETCH_SHARED, r -> shared(r.getFetchShared()));
    }

    /** Starts sending. */
    public void start() {
        mTimer = mVertx.setPeriodic(0, INTERVAL_MS, t -> round());
    }

    private void round() {
        List<String> view = refreshView();
        HostState state = mState.get();
        long now = mTicker.nanoTime();
        String self = mFleet.self();
        if (view.contains(self)) {
            mDelegations.recordReply(self, now, view, mDelegator.delegate(self, view), now);
        }
        PeerRequest request = PeerRequest.heartbeat(new Heartbeat(state));
        for (String address : mFleet.addresses()) {
            long askedAt = mTicker.nanoTime();
            mPeers.call(address, request, TIMEOUT_MS)
                    .onSuccess(r -> received(address, view, r.getHeartbeat(), askedAt));
        }
        mAfterRound.run();
    }

    private List<String> refreshView() {
        List<String> before = mFleet.view();
        List<String> view = mFleet.refresh();
        if (!view.equals(before)) {
            LOG.info("step=peer-call view={}", view);
        }
        mDelegator.setView(view);
        return view;
    }

    private void received(String address, List<String> view, HeartbeatReply reply, long askedAt) {
        HostState sender = reply.getSender();
        if (mFleet.isSelf(sender.getHost())) {
            // A seed address can be this node's own.
            return;
        }
        note(address, sender);
        if (reply.isConsent()) {
            mTenure.recordPeerConfirmation(sender.getHost(), sender.getEpoch(), askedAt);
        }
        ShareDelegator.Reply answer =
                new ShareDelegator.Reply(
                        TimeUnit.MILLISECONDS.toNanos(reply.getDelegatedForMs()),
                        reply.getFraction(),
                        lentElsewhere(reply),
                        List.copyOf(reply.getPreviousView()),
                        reply.getViewNumber());
        mDelegations.recordReply(sender.getHost(), askedAt, view, answer, mTicker.nanoTime());
    }

    private static Map<String, Long> lentElsewhere(HeartbeatReply reply) {
        Map<String, Long> elsewhere = new HashMap<>();
        reply.getLentElsewhereMs()
                .forEach((host, ms) -> elsewhere.put(host, TimeUnit.MILLISECONDS.toNanos(ms)));
        return elsewhere;
    }

    private Future<PeerReply> answer(Heartbeat heartbeat) {
        HostState sender = heartbeat.getSender();
        if (mFleet.isSelf(sender.getHost())) {
            HeartbeatReply own = new HeartbeatReply();
            own.setSender(mState.get());
            own.setPreviousView(List.of());
            own.setLentElsewhereMs(Map.of());
            return Future.succeededFuture(PeerReply.heartbeat(own));
        }
        note(sender.getPeerAddress(), sender);
        refreshView();
        boolean consent = mTenure.confirmsEpoch(sender.getEpoch());
        ShareDelegator.Reply answer = mDelegator.delegate(sender.getHost(), sender.getView());
        HeartbeatReply reply = new HeartbeatReply();
        reply.setSender(mState.get());
        reply.setConsent(consent);
        reply.setDelegatedForMs(TimeUnit.NANOSECONDS.toMillis(answer.validNanos()));
        reply.setFraction(answer.fraction());
        Map<String, Long> elsewhere = new HashMap<>();
        answer.formerDelegations()
                .forEach((h, n) -> elsewhere.put(h, TimeUnit.NANOSECONDS.toMillis(n) + 1));
        reply.setLentElsewhereMs(elsewhere);
        reply.setPreviousView(answer.previousView());
        reply.setViewNumber(answer.viewNumber());
        return Future.succeededFuture(PeerReply.heartbeat(reply));
    }

    private void note(String address, HostState sender) {
        mFleet.heard(sender);
        mTenure.recordRelease(
                sender.getHost(),
                sender.getReleasedEpoch(),
                sender.isSettled() && sender.getEpoch() == sender.getReleasedEpoch());
        boolean newerBundle = sender.getBundleVersion() > mBundles.current().version();
        boolean newerEpoch = sender.getEpoch() > mTenure.assignment().epoch();
        if (newerBundle || newerEpoch) {
            fetch(address);
        }
    }

    private void fetch(String address) {
        FetchShared have =
                new FetchShared(mBundles.current().version(), mTenure.assignment().epoch());
        mPeers.call(address, PeerRequest.fetchShared(have), TIMEOUT_MS)
                .onSuccess(r -> fetched(address, r.getShared()));
    }

    private void fetched(String address, SharedReply shared) {
        if (shared.isSetSignedBundle()) {
            mBundles.applyJson(shared.getSignedBundle(), address);
        }
        if (shared.isSetAssignment()) {
            try {
                mTenure.adopt(Assignment.fromJson(shared.getAssignment()));
            } catch (SesamepinException e) {
                LOG.warn("step=peer-call peer={} message=\"{}\"", address, e.getMessage());
            }
        }
    }

    private Future<PeerReply> shared(FetchShared have) {
        SharedReply reply = new SharedReply();
        SignedBundle signed = mBundles.signed();
        if (signed != null && mBundles.current().version() > have.getBundleVersion()) {
            reply.setSignedBundle(signed.toJson());
        }
        Assignment assignment = mTenure.assignment();
        if (assignment.epoch() > have.getEpoch()) {
            reply.setAssignment(assignment.toJson());
        }
        return Future.succeededFuture(PeerReply.shared(reply));
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
