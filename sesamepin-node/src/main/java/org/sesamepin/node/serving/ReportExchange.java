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
    private static final long CHECK_INTERVAL_MS = 250;
    private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long URGENT_REPORT_DELAY_MS = 12;
    private static final long REPORT_TIMEOUT_MS = 400;
    private static final long CATCH_UP_DELAY_MS = 250;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final LoadTable mLoads;
    private final PlacementClient mPlacementClient;
    private final BatchWork mBatchWork;
    private final long mIncarnation;
    private final BooleanSupplier mStoreReachable;
    private final List<StoreMirror> mMirrors;
    private final Set<String> mUnresponsivePeers = new HashSet<>();
    private List<InFlight> mLastInFlight = List.of();
    private long mLastSentAt;
    private long mLastConfigVersion;
    private long mTimer;
    private int mRoundOffset;
    private boolean mCatchingUp;
    private boolean mUrgentReportScheduled;

    /** Creates an exchange; a mirror that is behind those of a peer lists again. */
    public ReportExchange(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient client,
            LoadTable loads,
            PlacementClient places,
            BatchWork batch,
            long incarnation,
            BooleanSupplier storeReachable,
            List<StoreMirror> mirrors) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = client;
        mLoads = loads;
        mPlacementClient = places;
        mBatchWork = batch;
        mIncarnation = incarnation;
        mStoreReachable = storeReachable;
        mMirrors = mirrors;
    }

    /** Starts telling the peers. */
    public void start() {
        mTimer = mVertx.setPeriodic(CHECK_INTERVAL_MS, t -> reportIfDue());
    }

    /** Tells the coordinators shortly that something has ended or waits. */
    public void reportSoon() {
        if (!mUrgentReportScheduled) {
            mUrgentReportScheduled = true;
            mVertx.setTimer(URGENT_REPORT_DELAY_MS, t -> reportToCoordinators());
        }
    }

    private void reportToCoordinators() {
        mUrgentReportScheduled = false;
        HostReport report = newReport(mLoads.ownInFlight(), Map.of());
        mPlacementClient.localCoordinator().recordReport(report);
        PeerRequest request = PeerRequest.report(report);
        for (PeerTable.Peer peer : mPlacementClient.coordinatingPeers()) {
            send(peer, request);
        }
    }

    private void send(PeerTable.Peer peer, PeerRequest request) {
        mPeerClient
                .call(peer.address(), request, REPORT_TIMEOUT_MS)
                .onSuccess(reply -> recordReport(reply.getReport()))
                .onFailure(e -> recordNoReply(peer, e));
    }

    private void reportIfDue() {
        List<InFlight> own = mLoads.ownInFlight();
        long now = mTicker.nanoTime();
        long version = mState.config().version();
        boolean same = own.equals(mLastInFlight) && version == mLastConfigVersion;
        if (same && now - mLastSentAt < MAX_REPORT_INTERVAL_NANOS) {
            return;
        }
        mLastInFlight = own;
        mLastSentAt = now;
        mLastConfigVersion = version;
        HostReport report = newReport(own, mLoads.meanEventIntervalsMs());
        PeerRequest request = PeerRequest.report(report);
        for (PeerTable.Peer peer : nextRecipients()) {
            send(peer, request);
        }
        mPlacementClient.localCoordinator().recordReport(report);
    }

    /** Returns the peers whose turn it is, and those that place requests for all hosts. */
    private Set<PeerTable.Peer> nextRecipients() {
        List<PeerTable.Peer> all = new ArrayList<>(mPeers.registered());
        if (all.size() <= PeerTable.PEERS_PER_ROUND) {
            return Set.copyOf(all);
        }
        all.sort(Comparator.comparing(PeerTable.Peer::name));
        Collections.rotate(all, -mRoundOffset);
        mRoundOffset = (mRoundOffset + PeerTable.PEERS_PER_ROUND) % all.size();
        Set<PeerTable.Peer> turn = new HashSet<>(all.subList(0, PeerTable.PEERS_PER_ROUND));
        turn.addAll(mPlacementClient.coordinatingPeers());
        return turn;
    }

    private HostReport newReport(List<InFlight> own, Map<String, Double> eventMs) {
        return new HostReport(
                mPeers.self(),
                mIncarnation,
                mState.config().version(),
                mStoreReachable.getAsBoolean(),
                own,
                contentRevisions(),
                mBatchWork.waiting(),
                mBatchWork.dueInMs(),
                mLoads.failingTargets(),
                eventMs);
    }

    /** Answers a peer's report with this host's own. */
    public PeerReply handleReport(HostReport report) {
        recordReport(report);
        return PeerReply.report(newReport(mLoads.ownInFlight(), Map.of()));
    }

    private void recordReport(HostReport report) {
        if (mUnresponsivePeers.remove(report.getHost())) {
            LOG.info("step=peer peer={} outcome=regained", report.getHost());
        }
        mPeers.recordContact(report.getHost(), report.isStoreReachable());
        mLoads.recordReport(report);
        mPlacementClient.localCoordinator().recordReport(report);
        if (isBehind(report) && !mCatchingUp) {
            mCatchingUp = true;
            mVertx.setTimer(CATCH_UP_DELAY_MS, t -> catchUp(report));
        }
    }

    private List<Long> contentRevisions() {
        return mMirrors.stream().map(StoreMirror::contentRevision).toList();
    }

    private boolean isBehind(HostReport report) {
        List<Long> theirs = report.getWatchedRevisions();
        for (int i = 0; i < mMirrors.size() && i < theirs.size(); i++) {
            StoreMirror mirror = mMirrors.get(i);
            if (theirs.get(i) > mirror.contentRevision() && !mirror.isWatchDeferred()) {
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
            if (theirs.get(i) > mirror.contentRevision() && !mirror.isWatchDeferred()) {
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

    private void recordNoReply(PeerTable.Peer peer, Throwable e) {
        if (mUnresponsivePeers.add(peer.name())) {
            LOG.warn("step=peer peer={} outcome=lost cause={}", peer.name(), e.getMessage());
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
