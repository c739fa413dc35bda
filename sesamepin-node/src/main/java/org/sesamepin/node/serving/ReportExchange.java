package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the peers several times a second what this host has in flight and up to which revision it
 * knows the store, and hears the same of them. A peer that is further shows that a watch here has
 * missed a change.
 */
public final class ReportExchange implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ReportExchange.class);
    private static final long TICK_MS = 250;
    private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long SOON_MS = 12;
    private static final long TIMEOUT_MS = 400;
    private static final long CATCH_UP_MS = 250;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final LoadTable mLoads;
    private final PlaceDesk mPlaces;
    private final BatchWork mBatch;
    private final long mIncarnation;
    private final BooleanSupplier mStoreReachable;
    private final List<StoreMirror> mMirrors;
    private final Set<String> mSilent = new HashSet<>();
    private List<InFlight> mLastSent = List.of();
    private long mLastSentAt;
    private long mLastVersion;
    private long mTimer;
    private int mTurn;
    private boolean mCatchingUp;
    private boolean mSoon;

    /** Creates an exchange; a mirror that is behind those of a peer lists again. */
    public ReportExchange(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient client,
            LoadTable loads,
            PlaceDesk places,
            BatchWork batch,
            long incarnation,
            BooleanSupplier storeReachable,
            List<StoreMirror> mirrors) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mClient = client;
        mLoads = loads;
        mPlaces = places;
        mBatch = batch;
        mIncarnation = incarnation;
        mStoreReachable = storeReachable;
        mMirrors = mirrors;
    }

    /** Starts telling the peers. */
    public void start() {
        mTimer = mVertx.setPeriodic(TICK_MS, t -> tick());
    }

    /** Tells the coordinators shortly that something has ended or waits. */
    public void reportSoon() {
        if (!mSoon) {
            mSoon = true;
            mVertx.setTimer(SOON_MS, t -> tellCoordinators());
        }
    }

    private void tellCoordinators() {
        mSoon = false;
        HostReport report = report(mLoads.own(), Map.of());
        mPlaces.coordinator().reported(report);
        PeerRequest request = PeerRequest.report(report);
        for (PeerTable.Peer peer : mPlaces.coordinatingPeers()) {
            tell(peer, request);
        }
    }

    private void tell(PeerTable.Peer peer, PeerRequest request) {
        mClient.call(peer.address(), request, TIMEOUT_MS)
                .onSuccess(reply -> heard(reply.getReport()))
                .onFailure(e -> silent(peer, e));
    }

    private void tick() {
        List<InFlight> own = mLoads.own();
        long now = mTicker.nanoTime();
        long version = mState.config().version();
        boolean same = own.equals(mLastSent) && version == mLastVersion;
        if (same && now - mLastSentAt < REST_NANOS) {
            return;
        }
        mLastSent = own;
        mLastSentAt = now;
        mLastVersion = version;
        HostReport report = report(own, mLoads.eventMs());
        PeerRequest request = PeerRequest.report(report);
        for (PeerTable.Peer peer : turn()) {
            tell(peer, request);
        }
        mPlaces.coordinator().reported(report);
    }

    /** Returns the peers whose turn it is, and those that place requests for all hosts. */
    private Set<PeerTable.Peer> turn() {
        List<PeerTable.Peer> all = new ArrayList<>(mPeers.registered());
        if (all.size() <= PeerTable.PEERS_IN_TURN) {
            return Set.copyOf(all);
        }
        all.sort(Comparator.comparing(PeerTable.Peer::name));
        Collections.rotate(all, -mTurn);
        mTurn = (mTurn + PeerTable.PEERS_IN_TURN) % all.size();
        Set<PeerTable.Peer> turn = new HashSet<>(all.subList(0, PeerTable.PEERS_IN_TURN));
        turn.addAll(mPlaces.coordinatingPeers());
        return turn;
    }

    private HostReport report(List<InFlight> own, Map<String, Double> eventMs) {
        return new HostReport(
                mPeers.self(),
                mIncarnation,
                mState.config().version(),
                mStoreReachable.getAsBoolean(),
                own,
                revisions(),
                mBatch.waitingItems(),
                mBatch.firstDueInMs(),
                mLoads.failing(),
                eventMs);
    }

    /** Answers a peer's report with this host's own. */
    public PeerReply answer(HostReport report) {
        heard(report);
        return PeerReply.report(report(mLoads.own(), Map.of()));
    }

    private void heard(HostReport report) {
        if (mSilent.remove(report.getHost())) {
            LOG.info("step=peer peer={} outcome=regained", report.getHost());
        }
        mPeers.heard(report.getHost(), report.isStoreReachable());
        mLoads.reported(report);
        mPlaces.coordinator().reported(report);
        if (isBehind(report) && !mCatchingUp) {
            mCatchingUp = true;
            mVertx.setTimer(CATCH_UP_MS, t -> catchUp(report));
        }
    }

    private List<Long> revisions() {
        return mMirrors.stream().map(StoreMirror::contentRevision).toList();
    }

    private boolean isBehind(HostReport report) {
        List<Long> theirs = report.getWatchedRevisions();
        for (int i = 0; i < mMirrors.size() && i < theirs.size(); i++) {
            StoreMirror mirror = mMirrors.get(i);
            if (theirs.get(i) > mirror.contentRevision() && !mirror.isHeldBack()) {
                return true;
            }
        }
        return false;
    }

    /** Lists what is still behind after the time that a watch needs to bring it. */
    private void catchUp(HostReport report) {
        mCatchingUp = false;
        List<Long> theirs = report.getWatchedRevisions();
        for (int i = 0; i < mMirrors.size() && i < theirs.size(); i++) {
            StoreMirror mirror = mMirrors.get(i);
            if (theirs.get(i) > mirror.contentRevision() && !mirror.isHeldBack()) {
                LOG.info(
                        "step=store-watch prefix={} peer={} peer_revision={} revision={}"
                                + " outcome=missed",
                        mirror.prefix(),
                        report.getHost(),
                        theirs.get(i),
                        mirror.contentRevision());
                mirror.refresh();
            }
        }
    }

    private void silent(PeerTable.Peer peer, Throwable e) {
        if (mSilent.add(peer.name())) {
            LOG.warn("step=peer peer={} outcome=lost cause={}", peer.name(), e.getMessage());
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
