package org.sesamepin.node;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.lifecycle.Closer;
import org.sesamepin.core.limit.BlockPolicy;
import org.sesamepin.core.limit.DelegatedShares;
import org.sesamepin.core.limit.ShareDelegator;
import org.sesamepin.core.membership.FleetTiming;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.core.routing.RoutingPolicy;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.admin.AdminServer;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.batch.BatchApi;
import org.sesamepin.node.batch.BatchRunner;
import org.sesamepin.node.batch.JobService;
import org.sesamepin.node.batch.JobStore;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.fleet.HeartbeatService;
import org.sesamepin.node.fleet.HostListWatcher;
import org.sesamepin.node.fleet.KeyFreshness;
import org.sesamepin.node.fleet.LiveHosts;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.fleet.StorePoller;
import org.sesamepin.node.http.CallerMemory;
import org.sesamepin.node.limit.RateLimiter;
import org.sesamepin.node.online.ActiveRequestRegistry;
import org.sesamepin.node.online.Authenticator;
import org.sesamepin.node.online.CallerServer;
import org.sesamepin.node.online.IntentLog;
import org.sesamepin.node.online.OnlineContext;
import org.sesamepin.node.online.TargetChooser;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.prompt.QuarantineStorage;
import org.sesamepin.node.prompt.SharedPromptGuard;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.slot.SlotService;
import org.sesamepin.node.slot.TargetHealth;
import org.sesamepin.node.spi.HostList;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.node.target.TargetClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node of the fleet: creates its components, starts them, and stops them without interrupting
 * running requests.
 */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final long DRAIN_CHECK_MS = 50;

    private final Vertx mVertx;
    private final NodeSettings mSettings;
    private final Ticker mTicker = Ticker.SYSTEM;
    private final Closer mCloser = new Closer();
    private final NodeMetrics mMetrics = new NodeMetrics();
    private final PluginRegistry mPlugins = PluginRegistry.load();
    private final TargetHealth mHealth;
    private final ActiveRequestRegistry mActiveRequests = new ActiveRequestRegistry();
    private final ShareLease mShareLease;
    private final ShareDelegator mShareDelegator;
    private final DelegatedShares mDelegatedShares;
    private final FleetView mFleet;
    private final PlatformStore mStore;
    private final BundleManager mBundles;
    private final KeyFreshness mFreshness;
    private final PeerClient mPeers;
    private final RateLimiter mLimiter;
    private final SlotService mSlots;
    private final TargetChooser mChooser;
    private final SharedPromptGuard mPromptGuard;
    private final BatchRunner mBatchRunner;
    private final JobService mJobs;
    private final NodeStatus mStatus;
    private final StorePoller mPoller;
    private final OnlineContext mOnlineContext;
    private final BatchApi mBatchApi;

    /**
     * Creates a node and its components; {@link #start} starts them.
     *
     * @throws SesamepinException when no plug-in provides the kind of store in the settings
     */
    public Node(Vertx vertx, NodeSettings settings) throws SesamepinException {
        mVertx = vertx;
        mSettings = settings;
        FleetTiming timing = FleetTiming.STANDARD;
        String self = settings.host();
        mHealth = new TargetHealth(mTicker);
        mShareLease = new ShareLease(self, timing, mTicker);
        mShareDelegator = new ShareDelegator(mShareLease, timing, mTicker);
        mDelegatedShares = new DelegatedShares(self);
        mFleet = new FleetView(self, settings.seeds(), mTicker);
        PluginRegistry.StoreFactory stores = mPlugins.storeFactory(settings.storeKind());
        mStore =
                mCloser.add(stores.open(vertx, settings.storeAddress(), settings.storeTimeoutMs()));
        mBundles = new BundleManager(settings.operators(), mStore, settings.dataFolder(), mTicker);
        mFreshness = new KeyFreshness(mBundles, mFleet, mShareLease);
        mPeers = mCloser.add(new PeerClient(vertx));
        mLimiter = mCloser.add(createLimiter(timing));
        mSlots = mCloser.add(new SlotService(vertx, mTicker, mFleet, mBundles, mPeers, mHealth));
        mChooser =
                new TargetChooser(
                        mFleet,
                        mSlots,
                        mHealth,
                        RoutingPolicy.TWO_CHOICES,
                        settings.failureDomain());
        mPromptGuard = mCloser.add(createPromptGuard());
        TargetClient client = mCloser.add(new TargetClient(vertx));
        mBatchRunner = mCloser.add(createBatchRunner(client));
        JobStore jobStore = new JobStore(mStore);
        mJobs =
                mCloser.add(
                        new JobService(
                                vertx,
                                mTicker,
                                jobStore,
                                mFleet,
                                mBundles,
                                mPeers,
                                mLimiter,
                                mMetrics,
                                mBatchRunner));
        mStatus = createStatus();
        mPoller =
                mCloser.add(
                        new StorePoller(
                                vertx,
                                mStore,
                                mTicker,
                                mShareLease,
                                mFleet,
                                mBundles,
                                mStatus::hostRecord,
                                mPromptGuard::onListing));
        mOnlineContext = createOnlineContext(client);
        mBatchApi = createBatchApi(jobStore);
    }

    private BatchRunner createBatchRunner(TargetClient client) {
        return new BatchRunner(
                mVertx,
                mTicker,
                mFleet,
                mBundles,
                mSlots,
                mHealth,
                client,
                mPeers,
                mPlugins,
                mPromptGuard,
                mMetrics);
    }

    private NodeStatus createStatus() {
        return new NodeStatus(
                mSettings,
                System.currentTimeMillis(),
                mFleet,
                mBundles,
                mFreshness,
                mShareLease,
                mSlots,
                mJobs,
                mBatchRunner,
                mActiveRequests,
                mPromptGuard,
                this::isStoreReachable);
    }

    private boolean isStoreReachable() {
        return mPoller.isStoreReachable();
    }

    private SharedPromptGuard createPromptGuard() {
        return new SharedPromptGuard(
                mVertx,
                mTicker,
                new LiveHosts(mFleet),
                mPeers,
                new QuarantineStorage(StoreKeys.PROMPT_QUARANTINE_PREFIX, mStore::commit));
    }

    private OnlineContext createOnlineContext(TargetClient client) {
        return new OnlineContext(
                mVertx,
                mSettings.limits(),
                new Authenticator(mBundles, mFreshness),
                mActiveRequests,
                mLimiter,
                mChooser,
                mSlots,
                mHealth,
                client,
                mPromptGuard,
                mPlugins,
                mMetrics);
    }

    private BatchApi createBatchApi(JobStore jobStore) {
        return new BatchApi(
                mVertx,
                mStore,
                jobStore,
                mJobs,
                mFleet,
                mPeers,
                mOnlineContext.authenticator(),
                mLimiter,
                mSettings.limits(),
                mMetrics);
    }

    private RateLimiter createLimiter(FleetTiming timing) {
        return new RateLimiter(
                mVertx,
                mTicker,
                timing,
                BlockPolicy.ADAPTIVE_BLOCK,
                mBundles,
                mFleet,
                mPeers,
                mDelegatedShares,
                mShareDelegator,
                mSettings.limits().admissionWaitMs());
    }

    /**
     * Starts all components.
     *
     * @throws SesamepinException when a listener cannot be started, for example because its address
     *     is in use, or when no plug-in provides the kind of host list in the settings
     */
    public void start() throws SesamepinException {
        mBundles.loadFromDisk();
        mBundles.onChange(mActiveRequests::endRequestsOfWithdrawnKeys);
        PeerServer server = mCloser.add(new PeerServer(mVertx, mSettings.peerAddress()));
        HeartbeatService heartbeats =
                mCloser.add(
                        new HeartbeatService(
                                mVertx,
                                mPeers,
                                mTicker,
                                mFleet,
                                mShareLease,
                                mShareDelegator,
                                mDelegatedShares,
                                mBundles,
                                mStatus::hostState,
                                this::afterHeartbeats));
        heartbeats.registerHandlers(server);
        mLimiter.registerHandlers(server);
        mSlots.registerHandlers(server);
        mJobs.registerHandlers(server);
        server.registerHandler(PeerRequest._Fields.PROMPT_EVIDENCE, this::handlePromptEvidence);
        AdminServer admin =
                mCloser.add(
                        new AdminServer(
                                mVertx,
                                mSettings.adminAddress(),
                                mMetrics,
                                mStatus::unreadyReason,
                                this::status));
        mStatus.registerGauges(mMetrics);
        CallerMemory memory = mSettings.limits().newCallerMemory(mTicker);
        mMetrics.registerCallerMemory(memory);
        IntentLog intents = new IntentLog(mVertx, mStore);
        Future<String> callers =
                mVertx.deployVerticle(
                        () ->
                                new CallerServer(
                                        mSettings.callerAddress(),
                                        mOnlineContext,
                                        mBundles,
                                        intents,
                                        mBatchApi,
                                        memory),
                        new DeploymentOptions().setInstances(mSettings.eventLoops()));
        await(Future.all(server.start(), admin.start(), callers));
        mCloser.add(() -> await(mVertx.undeploy(callers.result())));
        mPoller.start();
        heartbeats.start();
        mLimiter.start();
        mSlots.start(mBatchRunner::preempt);
        mBatchRunner.start(mJobs);
        mJobs.start();
        watchHostList();
        LOG.info(
                "step=start host={} failure_domain={} callers={}",
                mSettings.host(),
                mSettings.failureDomain(),
                NodeSettings.formatAddress(mSettings.callerAddress()));
    }

    private void await(Future<?> future) throws SesamepinException {
        try {
            future.toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw startError(e);
        } catch (Exception e) {
            throw startError(e);
        }
    }

    private SesamepinException startError(Exception e) {
        return new SesamepinException(
                Step.START,
                mSettings.host(),
                Execution.NOT_RUN,
                "cannot start or stop a listener: " + e,
                e);
    }

    private void watchHostList() throws SesamepinException {
        if (mSettings.hostListAddress().isEmpty()) {
            return;
        }
        PluginRegistry.HostListFactory factory = mPlugins.hostListFactory(mSettings.hostListKind());
        HostList list =
                mCloser.add(
                        factory.open(
                                mVertx, mSettings.hostListAddress(), mSettings.storeTimeoutMs()));
        mCloser.add(new HostListWatcher(mVertx, list, mSettings.host(), mHealth, mShareLease));
    }

    private void afterHeartbeats() {
        mLimiter.refillBuckets();
        mChooser.resetSentCounts();
    }

    private Future<PeerReply> handlePromptEvidence(PeerRequest request) {
        mPromptGuard.recordEvidence(request.getPromptEvidence());
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    /** Returns the state of the node that {@code /status} shows to operators. */
    public JsonObject status() {
        return mStatus.toJson();
    }

    /** Returns whether the node is ready to serve requests. */
    public boolean isReady() {
        return mStatus.unreadyReason().isEmpty();
    }

    /**
     * Stops the node without interrupting running requests: hands its jobs over to other nodes,
     * goes on accepting requests for the drain time, since the load balancer still sends some,
     * waits for running requests until the stop timeout, and ends its lease in the store.
     */
    public Future<Void> stop() {
        LOG.info("step=stop host={} draining=true", mSettings.host());
        mFleet.drain();
        mPoller.announceLeaving();
        mBatchRunner.stop();
        long deadline =
                mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mSettings.stopTimeoutMs());
        return mJobs.stop()
                .compose(v -> mVertx.timer(Math.max(1, mSettings.drainMs()), TimeUnit.MILLISECONDS))
                .compose(v -> awaitSessions(deadline))
                .compose(v -> mPoller.leave())
                .onComplete(v -> LOG.info("step=stop host={} left=true", mSettings.host()));
    }

    private Future<Void> awaitSessions(long deadline) {
        boolean timedOut = mTicker.nanoTime() - deadline > 0;
        if (mActiveRequests.size() == 0 || timedOut) {
            return Future.succeededFuture();
        }
        return mVertx.timer(DRAIN_CHECK_MS, TimeUnit.MILLISECONDS)
                .compose(v -> awaitSessions(deadline));
    }

    /**
     * Closes all components at once, which interrupts running requests; call {@link #stop} before
     * to let them end.
     */
    @Override
    public void close() throws Exception {
        mCloser.close();
    }
}
