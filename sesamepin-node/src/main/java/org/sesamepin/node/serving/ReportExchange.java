package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;
import org.sesamepin.node.peer.generated.ItemRunTime;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.prompt.PromptGuard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports to the peers several times a second what this host has in flight and up to which revision
 * it has read the store, and records the same from them. A peer with a later revision shows that a
 * watch of this host has missed a change.
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
    private final PromptGuard mPromptGuard;
    private final ConfigVerifier mConfigVerifier;
    private final PeerConfigReader mPeerConfigReader;
    private final EvacuationTracker mEvacuations;
    private final long mIncarnation;
    private final BooleanSupplier mStoreReachable;
    private final List<StoreMirror> mMirrors;
    private final Set<String> mUnresponsivePeers = new HashSet<>();
    private List<InFlight> mLastInFlight = List.of();
    private long mSequence;
    private long mLastSentAt;
    private long mLastConfigVersion;
    private long mTimer;
    private int mRoundOffset;
    private boolean mCatchingUp;
    private boolean mUrgentReportScheduled;

    /**
     * Creates an exchange.
     *
     * @param mirrors mirrors that list again when they are behind those of a peer
     */
    public ReportExchange(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient peerClient,
            LoadTable loads,
            PlacementClient placementClient,
            BatchWork batchWork,
            PromptGuard promptGuard,
            ConfigVerifier configVerifier,
            PeerConfigReader peerConfigReader,
            EvacuationTracker evacuations,
            long incarnation,
            BooleanSupplier storeReachable,
            List<StoreMirror> mirrors) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
        mLoads = loads;
        mPlacementClient = placementClient;
        mBatchWork = batchWork;
        mPromptGuard = promptGuard;
        mConfigVerifier = configVerifier;
        mPeerConfigReader = peerConfigReader;
        mEvacuations = evacuations;
        mIncarnation = incarnation;
        mStoreReachable = storeReachable;
        mMirrors = mirrors;
    }

    /** Starts reporting to the peers. */
    public void start() {
        mTimer = mVertx.setPeriodic(CHECK_INTERVAL_MS, t -> reportIfDue());
    }

    /**
     * Schedules a report to the coordinators after a few milliseconds, because a request has ended
     * or a batch item waits.
     */
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
        // In a large fleet the replies to these reports would cost a coordinator more than they.
        if (mPeers.isLargeFleet()) {
            report.setNoReply(true);
        }
        PeerRequest request = PeerRequest.report(report);
        for (PeerTable.Peer peer : mPlacementClient.coordinatingPeers()) {
            send(peer, request);
        }
    }

    private void send(PeerTable.Peer peer, PeerRequest request) {
        mPeerClient
                .call(peer.address(), request, REPORT_TIMEOUT_MS)
                .onSuccess(this::onReply)
                .onFailure(e -> recordNoReply(peer, e));
    }

    private void onReply(PeerReply reply) {
        if (reply.isSet(PeerReply._Fields.REPORT)) {
            recordReport(reply.getReport());
        }
    }

    private void reportIfDue() {
        List<InFlight> inFlight = mLoads.ownInFlight();
        long now = mTicker.nanoTime();
        long configVersion = mState.config().version();
        boolean unchanged = inFlight.equals(mLastInFlight) && configVersion == mLastConfigVersion;
        boolean mayWait = unchanged || mPeers.isLargeFleet();
        if (mayWait && now - mLastSentAt < MAX_REPORT_INTERVAL_NANOS) {
            return;
        }
        mLastInFlight = inFlight;
        mLastSentAt = now;
        mLastConfigVersion = configVersion;
        HostReport report = newReport(inFlight, mLoads.meanEventIntervalsMs());
        report.setItemRunTimes(itemRunTimes());
        addPromptQuarantine(report);
        PeerRequest request = PeerRequest.report(report);
        for (PeerTable.Peer peer : nextRecipients()) {
            send(peer, request);
        }
        mPlacementClient.localCoordinator().recordReport(report);
    }

    /** Returns the peers of the next report round, and the peers that coordinate services. */
    private Set<PeerTable.Peer> nextRecipients() {
        List<PeerTable.Peer> sortedPeers = new ArrayList<>(mPeers.registered());
        int peersPerRound = mPeers.peersPerRound();
        if (sortedPeers.size() <= peersPerRound) {
            return Set.copyOf(sortedPeers);
        }
        sortedPeers.sort(Comparator.comparing(PeerTable.Peer::name));
        Collections.rotate(sortedPeers, -mRoundOffset);
        mRoundOffset = (mRoundOffset + peersPerRound) % sortedPeers.size();
        Set<PeerTable.Peer> recipients = new HashSet<>(sortedPeers.subList(0, peersPerRound));
        recipients.addAll(mPlacementClient.coordinatingPeers());
        return recipients;
    }

    private HostReport newReport(List<InFlight> inFlight, Map<String, Double> eventIntervalsMs) {
        HostReport report =
                new HostReport(
                        mPeers.self(),
                        mIncarnation,
                        mState.config().version(),
                        mStoreReachable.getAsBoolean(),
                        inFlight,
                        contentRevisions(),
                        mBatchWork.waitingItems(),
                        mBatchWork.firstDueInMs(),
                        targetsToAvoid(),
                        eventIntervalsMs);
        report.setSequence(++mSequence);
        report.setGrantReceipts(mPlacementClient.handledGrants().receipts());
        mLoads.addLimitsTo(report);
        mConfigVerifier.addTo(report);
        mEvacuations.addTo(report);
        return report;
    }

    /** Returns the incarnations at which this host is to get no places for its requests. */
    private List<String> targetsToAvoid() {
        Set<String> avoided = new HashSet<>(mLoads.failingTargets());
        avoided.addAll(mState.withdrawnTargets());
        return List.copyOf(avoided);
    }

    /** Records a peer's report and replies with this host's own if the peer needs one. */
    public PeerReply handleReport(HostReport report) {
        recordReport(report);
        if (report.isNoReply()) {
            return PeerReply.done(new Done());
        }
        HostReport reply = newReport(mLoads.ownInFlight(), Map.of());
        if (report.isSetItemRunTimes()) {
            reply.setItemRunTimes(itemRunTimes());
            addPromptQuarantine(reply);
        }
        return PeerReply.report(reply);
    }

    private void addPromptQuarantine(HostReport report) {
        if (mPromptGuard.quarantineCount() > 0) {
            report.setPromptQuarantine(mPromptGuard.entriesForReport());
        }
    }

    private Map<String, ItemRunTime> itemRunTimes() {
        Map<String, ItemRunTime> times = new HashMap<>();
        mBatchWork
                .runTimes()
                .averagesByRoute()
                .forEach(
                        (route, averages) ->
                                times.put(
                                        route,
                                        new ItemRunTime(averages.events(), averages.msPerEvent())));
        return times;
    }

    private void adoptItemRunTimes(Map<String, ItemRunTime> times) {
        Map<String, ItemRunTimes.Averages> averages = new HashMap<>();
        times.forEach(
                (route, time) ->
                        averages.put(
                                route,
                                new ItemRunTimes.Averages(time.getEvents(), time.getMsPerEvent())));
        mBatchWork.runTimes().adopt(averages);
    }

    private void recordReport(HostReport report) {
        if (mUnresponsivePeers.remove(report.getHost())) {
            LOG.info("step=peer peer={} outcome=regained", report.getHost());
        }
        mPeers.recordContact(report.getHost(), report.isStoreReachable());
        mEvacuations.recordReport(report);
        mLoads.recordReport(report);
        mConfigVerifier.recordReport(report);
        mPeerConfigReader.recordReport(report);
        if (report.isSetItemRunTimes()) {
            adoptItemRunTimes(report.getItemRunTimes());
        }
        if (report.isSetPromptQuarantine()) {
            mPromptGuard.adoptAll(report.getPromptQuarantine());
        }
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
        List<Long> peerRevisions = report.getWatchedRevisions();
        for (int i = 0; i < mMirrors.size() && i < peerRevisions.size(); i++) {
            if (mMirrors.get(i).isBehind(peerRevisions.get(i))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Lists the mirrors again that are still behind after the time that a watch needs to deliver a
     * change.
     */
    private void catchUp(HostReport report) {
        mCatchingUp = false;
        List<Long> peerRevisions = report.getWatchedRevisions();
        for (int i = 0; i < mMirrors.size() && i < peerRevisions.size(); i++) {
            StoreMirror mirror = mMirrors.get(i);
            if (mirror.isBehind(peerRevisions.get(i))) {
                LOG.info(
                        "step=store-watch prefix={} peer={} peer_revision={} revision={}"
                                + " outcome=missed",
                        mirror.prefix(),
                        report.getHost(),
                        peerRevisions.get(i),
                        mirror.contentRevision());
                mirror.refresh();
            }
        }
    }

    private void recordNoReply(PeerTable.Peer peer, Throwable e) {
        mPeers.recordNoAnswer(peer.name());
        if (mUnresponsivePeers.add(peer.name())) {
            LOG.warn("step=peer peer={} outcome=lost cause={}", peer.name(), e.getMessage());
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
