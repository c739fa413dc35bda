package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamepin.core.lifecycle.Closer;
import org.sesamepin.core.prompt.PromptSuspects;
import org.sesamepin.core.target.TargetSelector;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.job.JobContentReader;
import org.sesamepin.node.job.JobIndex;
import org.sesamepin.node.job.JobRequestHandler;
import org.sesamepin.node.job.JobRunner;
import org.sesamepin.node.job.JobStorage;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.prompt.PromptGuard;
import org.sesamepin.node.prompt.QuarantineStorage;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.spi.WatchableStore;
import org.sesamepin.node.stream.StoredStreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node that serves routes: creates its components, starts them, and stops them without
 * interrupting a request. All components run on one event loop.
 */
public final class ServingNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ServingNode.class);

    private static final long BALANCER_LAG_MS = 2_600;
    private static final long STOP_MARGIN_MS = 900;
    private static final long STOP_CHECK_MS = 50;
    private static final long RATE_REFRESH_MS = 1_000;

    private final Vertx mVertx;
    private final ServingSettings mSettings;
    private final FleetProtocol mProtocol;
    private final Ticker mTicker = Ticker.SYSTEM;
    private final Closer mCloser = new Closer();
    private final ServingState mState = new ServingState();
    private final ServingMetrics mMetrics = new ServingMetrics();
    private final StoredStreamOrigins mStreamOrigins;
    private final PeerTable mPeers;
    private final RegisteredHosts mHosts;
    private final PeerClient mPeerClient;
    private final LoadTable mLoads;
    private final TargetAccess mTargetAccess;
    private final CustomerRateLimiter mRateLimiter;
    private final WatchIntervals mWatchIntervals = new WatchIntervals(this::hostCount);
    private final StoreCallLog mStoreCalls;
    private final WatchableStore mStore;
    private final PeerStoreRelay mStoreRelay;
    private final ConfigVerifier mConfigVerifier;
    private final EvacuationTracker mEvacuations;
    private final PeerConfigReader mPeerConfigReader;
    private final StoreMirror mConfigMirror;
    private final StoreMirror mTargetMirror;
    private final StoreMirror mControlMirror;
    private final HostLease mLease;
    private final ReportExchange mReportExchange;
    private final PlacementClient mPlacementClient;
    private final EventLoopLag mLoopLag;
    private final PromptGuard mPromptGuard;
    private final ServingContext mContext;
    private final JobRunner mJobRunner;
    private final JobRequestHandler mJobRequestHandler;
    private final JobContentReader mJobContentReader;

    /**
     * Creates a node without starting it.
     *
     * @param operatorListener receives all entries and changes below the configuration's prefix
     */
    public ServingNode(
            Vertx vertx,
            ServingSettings settings,
            FleetProtocol protocol,
            WatchableStore platformStore,
            StoreMirror.Listener operatorListener) {
        mVertx = vertx;
        mSettings = settings;
        mProtocol = protocol;
        mStoreCalls = mCloser.add(new StoreCallLog(vertx, mMetrics));
        WatchableStore store = new MeteredStore(platformStore, protocol, mStoreCalls);
        mStore = mCloser.add(store);
        long incarnation = System.currentTimeMillis();
        mPeers = new PeerTable(mTicker, settings.host(), settings.cores());
        mHosts = new RegisteredHosts(mPeers);
        mPeerClient = mCloser.add(new PeerClient(vertx));
        WarmUpTracker warmUps = new WarmUpTracker(mTicker, mState);
        warmUps.registerMetrics(mMetrics);
        mLoads = new LoadTable(mTicker, warmUps);
        mTargetAccess = mCloser.add(new TargetAccess(vertx, mTicker, mState, mLoads, mPeers));
        mRateLimiter =
                new CustomerRateLimiter(vertx, mTicker, mState, mPeers, mPeerClient, mMetrics);
        mStoreRelay = new PeerStoreRelay(mPeers, mPeerClient, store, settings.seeds());
        store.setPeerRelay(mStoreRelay::callThroughPeer);
        ConfigUpdater configUpdater = new ConfigUpdater(protocol, mState);
        mPeerConfigReader = new PeerConfigReader(mState, mPeers, mPeerClient, configUpdater);
        TargetRegistry targetRegistry =
                new TargetRegistry(vertx, mTicker, protocol, mState, warmUps);
        mStreamOrigins = newStreamOrigins(store);
        mConfigVerifier = newConfigVerifier();
        mEvacuations = new EvacuationTracker(protocol, mState, warmUps);
        mConfigMirror = newConfigMirror(configUpdater, operatorListener);
        mTargetMirror =
                newMirror(
                        protocol.targetPrefix(),
                        new MirrorFanOut(List.of(targetRegistry, mStreamOrigins)),
                        mWatchIntervals::targetsMs);
        mLease = newLease(store, incarnation);
        JobIndex jobIndex = new JobIndex(mTicker);
        JobStorage jobStorage = new JobStorage(store, settings.maxStoreValueBytes());
        mPlacementClient = newPlacementClient();
        mLoopLag = new EventLoopLag(vertx, mTicker);
        mPromptGuard = newPromptGuard(store);
        mContext = newContext();
        mJobRunner =
                mCloser.add(
                        new JobRunner(
                                mContext, jobStorage, jobIndex, mLease, settings.jobRetentionMs()));
        mControlMirror = newControlMirror(jobIndex);
        mJobRequestHandler =
                new JobRequestHandler(
                        mContext,
                        jobStorage,
                        jobIndex,
                        mLease,
                        mJobRunner,
                        mPeers,
                        mPeerClient,
                        mControlMirror::watchNow);
        mJobContentReader =
                new JobContentReader(
                        mContext, jobStorage, jobIndex, mJobRunner, mPeers, mPeerClient);
        mReportExchange = newReportExchange(store, incarnation);
    }

    private StoreMirror newConfigMirror(ConfigUpdater updater, StoreMirror.Listener operators) {
        List<StoreMirror.Listener> listeners =
                List.of(mEvacuations, updater, operators, mConfigVerifier, mStreamOrigins);
        return newMirror(mProtocol.configPrefix(), new MirrorFanOut(listeners), () -> 0);
    }

    private StoredStreamOrigins newStreamOrigins(WatchableStore store) {
        return mCloser.add(
                new StoredStreamOrigins(
                        mVertx,
                        mTicker,
                        store,
                        mState,
                        mSettings.host(),
                        this::hostCount,
                        mHosts::isRendezvousOwner));
    }

    private ConfigVerifier newConfigVerifier() {
        return mCloser.add(
                new ConfigVerifier(
                        mVertx, mTicker, mState, this::hostCount, this::verificationDuty));
    }

    private ConfigVerifier.Duty verificationDuty() {
        if (!mPeers.isLargeFleet()) {
            return ConfigVerifier.Duty.SHARED;
        }
        return mPlacementClient.isCoordinatorOfAny()
                ? ConfigVerifier.Duty.FOR_OTHERS
                : ConfigVerifier.Duty.BY_OTHERS;
    }

    private int hostCount() {
        return 1 + mPeers.registered().size();
    }

    private HostLease newLease(WatchableStore store, long incarnation) {
        HostLease lease =
                new HostLease(
                        mVertx,
                        mTicker,
                        store,
                        mSettings.host(),
                        incarnation,
                        NodeSettings.formatAddress(mSettings.peerAddress()),
                        mSettings.cores(),
                        this::onStoreUnresponsive);
        return mCloser.add(lease);
    }

    private PromptGuard newPromptGuard(WatchableStore store) {
        return mCloser.add(
                new PromptGuard(
                        mVertx,
                        mTicker,
                        PromptSuspects.TargetIdentity.INCARNATION,
                        mHosts,
                        mPeerClient,
                        mTargetAccess::hasEnded,
                        new RegisteredTargets(mState),
                        new QuarantineStorage(
                                ServingKeys.promptQuarantinePrefix(), store::commit)));
    }

    private ReportExchange newReportExchange(WatchableStore store, long incarnation) {
        ReportExchange reports =
                new ReportExchange(
                        mVertx,
                        mTicker,
                        mState,
                        mPeers,
                        mPeerClient,
                        mLoads,
                        mPlacementClient,
                        mJobRunner,
                        mPromptGuard,
                        mConfigVerifier,
                        mPeerConfigReader,
                        mEvacuations,
                        incarnation,
                        store::isDirectlyReachable,
                        List.of(mConfigMirror, mTargetMirror, mControlMirror));
        return mCloser.add(reports);
    }

    private PlacementClient newPlacementClient() {
        TargetSelector targetSelector =
                new TargetSelector(
                        mLoads::loadOf, mSettings.failureDomain(), ThreadLocalRandom.current());
        return new PlacementClient(
                mVertx,
                mTicker,
                mState,
                mPeers,
                mPeerClient,
                targetSelector,
                mMetrics,
                new DeferredBatchWork(() -> mJobRunner),
                mLoads.limits(),
                mLoads.paces());
    }

    private ServingContext newContext() {
        return new ServingContext(
                mVertx,
                mTicker,
                mProtocol,
                mState,
                mLoads,
                mPlacementClient,
                mTargetAccess.client(),
                mTargetAccess.connector(),
                mRateLimiter,
                mPromptGuard,
                mLoopLag,
                mStreamOrigins,
                mMetrics);
    }

    private StoreMirror newControlMirror(JobIndex jobIndex) {
        return newMirror(
                ServingKeys.CONTROL_PREFIX,
                new MirrorFanOut(
                        List.of(
                                new PeerRegistrationListener(mPeers),
                                mLease,
                                jobIndex,
                                mPromptGuard.storeListener())),
                mWatchIntervals::controlMs);
    }

    private StoreMirror newMirror(
            String prefix, StoreMirror.Listener listener, LongSupplier intervalMs) {
        WatchRateLimiter rateLimiter = new WatchRateLimiter(mTicker, intervalMs);
        return mCloser.add(new StoreMirror(mVertx, mStore, prefix, listener, rateLimiter));
    }

    /** Returns the components that requests use. */
    public ServingContext context() {
        return mContext;
    }

    /** Returns the number of registered peers. */
    int peerCount() {
        return mPeers.registered().size();
    }

    /** Returns the handler of submissions and cancellations of jobs. */
    public JobRequestHandler jobs() {
        return mJobRequestHandler;
    }

    /** Returns the reader of results and items of jobs. */
    public JobContentReader jobContent() {
        return mJobContentReader;
    }

    /**
     * Returns whether rendezvous hashing over all registered hosts selects this host for {@code
     * key}.
     */
    public boolean isRendezvousOwner(String key) {
        return mHosts.isRendezvousOwner(key);
    }

    /** Starts all components except the server for callers. */
    public Future<Void> start() {
        PeerServer server = mCloser.add(new PeerServer(mVertx, mSettings.peerAddress()));
        registerPeerHandlers(server);
        server.registerTunnels(mTargetAccess.tunnelServer());
        HealthServer healthServer = new HealthServer(mVertx, mState, mMetrics);
        registerGauges();
        mLoopLag.start();
        mStoreCalls.start();
        mConfigMirror.start();
        mConfigVerifier.start(mConfigMirror);
        mTargetMirror.start();
        mControlMirror.start();
        mStreamOrigins.start();
        mLease.start();
        mReportExchange.start();
        mLoads.setEndListener(mReportExchange::reportSoon);
        mJobRunner.start(mReportExchange::reportSoon);
        mPlacementClient.handledGrants().setUnusedListener(mReportExchange::reportSoon);
        mPlacementClient.start();
        mVertx.setPeriodic(RATE_REFRESH_MS, t -> refreshRatesAndLoads());
        LOG.info(
                "step=start host={} failure_domain={} callers={} peers={}",
                mSettings.host(),
                mSettings.failureDomain(),
                NodeSettings.formatAddress(mSettings.callerAddress()),
                NodeSettings.formatAddress(mSettings.peerAddress()));
        return Future.all(
                        server.start(),
                        healthServer.start(mSettings.readyAddress(), mSettings.metricsAddress()))
                .mapEmpty();
    }

    private void registerPeerHandlers(PeerServer server) {
        server.registerHandler(
                PeerRequest._Fields.REPORT,
                request ->
                        Future.succeededFuture(mReportExchange.handleReport(request.getReport())));
        server.registerHandler(
                PeerRequest._Fields.CONFIG_REQUEST,
                request -> Future.succeededFuture(mPeerConfigReader.reply()));
        mRateLimiter.start(server);
        server.registerHandler(
                PeerRequest._Fields.JOB_NOTICE,
                request -> {
                    String jobId = request.getJobNotice().getJobId();
                    LOG.info("step=job job={} outcome=noticed", jobId);
                    return runAndReply(() -> mJobRunner.onCancellationNotice(jobId));
                });
        server.registerHandler(
                PeerRequest._Fields.JOB_READ,
                request -> mJobContentReader.handleJobRead(request.getJobRead()));
        server.registerHandler(
                PeerRequest._Fields.STORE_RELAY,
                request -> mStoreRelay.handleRelay(request.getStoreRelay()));
        server.registerHandler(
                PeerRequest._Fields.PLACE_ASK,
                request -> {
                    PlaceAnswer reply =
                            mPlacementClient
                                    .localCoordinator()
                                    .handleRequest(request.getPlaceAsk());
                    return Future.succeededFuture(PeerReply.placeAnswer(reply));
                });
        server.registerHandler(
                PeerRequest._Fields.PLACE_GRANT,
                request -> runAndReply(() -> mPlacementClient.onGrant(request.getPlaceGrant())));
        server.registerHandler(
                PeerRequest._Fields.SUSPEND_ITEM,
                request ->
                        runAndReply(
                                () -> mPlacementClient.onSuspendRequest(request.getSuspendItem())));
        server.registerHandler(
                PeerRequest._Fields.PROMPT_EVIDENCE,
                request ->
                        runAndReply(
                                () -> mPromptGuard.recordEvidence(request.getPromptEvidence())));
    }

    private static Future<PeerReply> runAndReply(Runnable action) {
        action.run();
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private void refreshRatesAndLoads() {
        mRateLimiter.refillAll();
        mLoads.retainRegistered(mState);
        mEvacuations.warnOfUnknownDomains();
    }

    private void registerGauges() {
        mTargetAccess.registerMetrics(mMetrics);
        mConfigVerifier.registerMetrics(mMetrics);
        mEvacuations.registerMetrics(mMetrics);
        mPlacementClient.registerMetrics(mMetrics);
        mMetrics.gauge(
                "sesamepin_targets",
                "Registered targets.",
                () -> mState.targets().targetsById().size());
        mMetrics.gauge(
                "sesamepin_target_loads",
                "Targets that have lately named how long work takes there.",
                mLoads::targetsWithPace);
        mMetrics.gauge("sesamepin_peers", "Peers heard lately.", () -> mPeers.reachable().size());
        mMetrics.gauge(
                "sesamepin_store_reachable",
                "1 when the store answered the last call of this host itself.",
                () -> mStore.isDirectlyReachable() ? 1 : 0);
        mMetrics.gauge(
                "sesamepin_prompts_quarantined",
                "Quarantines of prompts under which targets ended.",
                mPromptGuard::quarantineCount);
        mMetrics.counter(
                "sesamepin_target_ends",
                "Targets that ended while they ran requests of this host.",
                mPromptGuard::endCount);
        mMetrics.gauge(
                "sesamepin_stream_records_pending",
                "Records of streams that are not certain to be in the store.",
                mStreamOrigins::pendingRecords);
        mMetrics.counter(
                "sesamepin_stream_record_writes",
                "Writes of records of streams that the store confirmed.",
                mStreamOrigins::recordWrites);
        mMetrics.gauge("sesamepin_jobs_owned", "Jobs owned.", mJobRunner::ownedJobCount);
        mMetrics.gauge(
                "sesamepin_items_running", "Batch items that run.", mJobRunner::runningItemCount);
        mMetrics.gauge(
                "sesamepin_oldest_idle_item_seconds",
                "Time for which nothing has worked on the open item that has waited longest.",
                mJobRunner::oldestIdleItemSeconds);
    }

    private void onStoreUnresponsive() {
        mStore.reconnect();
        mConfigMirror.refresh();
        mTargetMirror.refresh();
        mControlMirror.refresh();
    }

    /**
     * Starts draining and hands over the jobs. Completes when the running calls have ended and the
     * balancer has had time to notice, or when the time for the stop is nearly over.
     */
    public Future<Void> stop(CallHandler calls) {
        long startedAt = mTicker.nanoTime();
        mState.drain(
                new DrainWindow(
                        startedAt + TimeUnit.MILLISECONDS.toNanos(BALANCER_LAG_MS),
                        startedAt + TimeUnit.MILLISECONDS.toNanos(callTimeMs())));
        LOG.info("step=stop host={} running={}", mSettings.host(), calls.runningCalls());
        mRateLimiter.handOver();
        return mJobRunner
                .handOver()
                .onComplete(done -> mLease.release())
                .transform(done -> awaitDrained(calls, startedAt));
    }

    /** Returns how long after the start of a stop calls may run, milliseconds. */
    private long callTimeMs() {
        return mSettings.stopWithinMs() - STOP_MARGIN_MS;
    }

    private Future<Void> awaitDrained(CallHandler calls, long startedAt) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - startedAt);
        boolean isIdle = calls.runningCalls() == 0 && !mTargetAccess.hasTunnels();
        boolean drained = isIdle && elapsed >= BALANCER_LAG_MS;
        if (drained || elapsed >= callTimeMs()) {
            LOG.info(
                    "step=stopped host={} running={} ms={}",
                    mSettings.host(),
                    calls.runningCalls(),
                    elapsed);
            return Future.succeededFuture();
        }
        return mVertx.timer(STOP_CHECK_MS, TimeUnit.MILLISECONDS)
                .compose(t -> awaitDrained(calls, startedAt));
    }

    @Override
    public void close() throws Exception {
        mCloser.close();
    }
}
