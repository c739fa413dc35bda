package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamepin.core.lifecycle.Closer;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetSelector;
import org.sesamepin.core.time.Ticker;
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
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.spi.WatchableStore;
import org.sesamepin.node.target.TargetClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node that serves routes: puts the parts together, starts them, and stops them without cutting
 * a request. All parts run on one event loop.
 */
public final class ServingNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ServingNode.class);

    /** Watches of all hosts for jobs and hosts; what is urgent comes by a peer's notice. */
    private static final long CONTROL_WATCHES_PER_S = 20;

    private static final long MAX_CONTROL_INTERVAL_MS = 1_500;

    /** Watches of all hosts for targets, which have to leave in time. */
    private static final long TARGET_WATCHES_PER_S = 250;

    private static final long MAX_TARGET_INTERVAL_MS = 250;
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
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final LoadTable mLoads;
    private final RateDesk mRates;
    private final WatchableStore mStore;
    private final StoreDetour mDetour;
    private final StoreMirror mConfigMirror;
    private final StoreMirror mTargetMirror;
    private final StoreMirror mControlMirror;
    private final HostLease mLease;
    private final ReportExchange mReports;
    private final PlaceDesk mPlaces;
    private final ServingContext mContext;
    private final JobRunner mJobOwner;
    private final JobRequestHandler mJobDesk;

    /**
     * Creates a node; nothing is started yet.
     *
     * @param operatorListener hears all that lies below the configuration's prefix
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
        WatchableStore store = new MeteredStore(platformStore, mMetrics);
        mStore = mCloser.add(store);
        long incarnation = System.currentTimeMillis();
        mPeers = new PeerTable(mTicker, settings.host());
        mPeerClient = mCloser.add(new PeerClient(vertx));
        mLoads = new LoadTable(mTicker);
        mRates = new RateDesk(mTicker, mState, mPeers, mPeerClient);
        mDetour = new StoreDetour(mPeers, mPeerClient, store, settings.seeds());
        store.setPeerRelay(mDetour::call);
        ConfigKeeper configs = new ConfigKeeper(protocol, mState);
        TargetKeeper targets = new TargetKeeper(vertx, mTicker, protocol, mState);
        mConfigMirror =
                mirror(
                        protocol.configPrefix(),
                        new MirrorFanOut(List.of(configs, operatorListener)),
                        () -> 0);
        mTargetMirror =
                mirror(
                        protocol.targetPrefix(),
                        targets,
                        () -> intervalMs(TARGET_WATCHES_PER_S, MAX_TARGET_INTERVAL_MS));
        mLease = newLease(store, incarnation);
        JobIndex index = new JobIndex();
        JobStorage storage = new JobStorage(store);
        mPlaces = newPlaces();
        mContext = newContext();
        mJobOwner =
                mCloser.add(
                        new JobRunner(mContext, storage, index, mLease, settings.jobRetentionMs()));
        mControlMirror =
                mirror(
                        ServingKeys.CONTROL_PREFIX,
                        new MirrorFanOut(List.of(new PeerMirror(mPeers), index)),
                        () -> intervalMs(CONTROL_WATCHES_PER_S, MAX_CONTROL_INTERVAL_MS));
        mJobDesk =
                new JobRequestHandler(
                        mContext,
                        storage,
                        index,
                        mLease,
                        mJobOwner,
                        mPeers,
                        mPeerClient,
                        mControlMirror::watchNow);
        mReports = newReports(store, incarnation);
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
                        this::storeSilent);
        return mCloser.add(lease);
    }

    private ReportExchange newReports(WatchableStore store, long incarnation) {
        ReportExchange reports =
                new ReportExchange(
                        mVertx,
                        mTicker,
                        mState,
                        mPeers,
                        mPeerClient,
                        mLoads,
                        mPlaces,
                        mJobOwner,
                        incarnation,
                        store::isDirectlyReachable,
                        List.of(mConfigMirror, mTargetMirror, mControlMirror));
        return mCloser.add(reports);
    }

    private PlaceDesk newPlaces() {
        TargetSelector placement =
                new TargetSelector(
                        mLoads::of, mSettings.failureDomain(), ThreadLocalRandom.current());
        return new PlaceDesk(
                mVertx,
                mTicker,
                mState,
                mPeers,
                mPeerClient,
                placement,
                mMetrics,
                new LateBatchWork());
    }

    /** Looks the owner of the jobs up at each call: it and the placement need each other. */
    private final class LateBatchWork implements BatchWork {
        @Override
        public boolean suspendOne(TargetInstance target) {
            return mJobOwner.suspendOne(target);
        }

        @Override
        public boolean runOne(String service, TargetInstance target) {
            return mJobOwner.runOne(service, target);
        }

        @Override
        public Map<String, Integer> waitingItems() {
            return mJobOwner.waitingItems();
        }

        @Override
        public long firstDueInMs() {
            return mJobOwner.firstDueInMs();
        }
    }

    private ServingContext newContext() {
        return new ServingContext(
                mVertx,
                mTicker,
                mProtocol,
                mState,
                mLoads,
                mPlaces,
                mCloser.add(new TargetClient(mVertx)),
                mRates,
                mMetrics);
    }

    private StoreMirror mirror(
            String prefix, StoreMirror.Listener listener, LongSupplier intervalMs) {
        WatchRateLimiter pace = new WatchRateLimiter(mTicker, intervalMs);
        return mCloser.add(new StoreMirror(mVertx, mStore, prefix, listener, pace));
    }

    /** Returns how often this host may watch, if the whole fleet may {@code perSecond} times. */
    private long intervalMs(long perSecond, long maxMs) {
        int hosts = 1 + mPeers.registered().size();
        return Math.min(maxMs, TimeUnit.SECONDS.toMillis(hosts) / perSecond);
    }

    /** Returns what requests use. */
    public ServingContext context() {
        return mContext;
    }

    /** Returns what answers requests about jobs. */
    public JobRequestHandler jobs() {
        return mJobDesk;
    }

    /** Tells whether this host is the first of all registered ones to act on {@code key}. */
    public boolean isRendezvousOwner(String key) {
        List<String> hosts = new ArrayList<>();
        hosts.add(mSettings.host());
        mPeers.registered().forEach(peer -> hosts.add(peer.name()));
        return mSettings.host().equals(Rendezvous.owner(key, hosts));
    }

    /** Starts all parts but the listener for callers. */
    public Future<Void> start() {
        PeerServer server = mCloser.add(new PeerServer(mVertx, mSettings.peerAddress()));
        server.on(
                PeerRequest._Fields.REPORT,
                r -> Future.succeededFuture(mReports.answer(r.getReport())));
        server.on(PeerRequest._Fields.LOAN, r -> Future.succeededFuture(mRates.lend(r.getLoan())));
        server.on(
                PeerRequest._Fields.JOB_NOTICE,
                r -> {
                    LOG.info("step=job job={} outcome=noticed", r.getJobNotice().getJobId());
                    return done(mControlMirror::watchNow);
                });
        server.on(PeerRequest._Fields.JOB_READ, r -> mJobDesk.handleJobRead(r.getJobRead()));
        server.on(PeerRequest._Fields.STORE_RELAY, r -> mDetour.relay(r.getStoreRelay()));
        server.on(
                PeerRequest._Fields.PLACE_ASK,
                r -> {
                    PlaceAnswer answer = mPlaces.coordinator().answer(r.getPlaceAsk());
                    return Future.succeededFuture(PeerReply.placeAnswer(answer));
                });
        server.on(
                PeerRequest._Fields.PLACE_GRANT,
                r -> done(() -> mPlaces.granted(r.getPlaceGrant())));
        server.on(
                PeerRequest._Fields.SUSPEND_ITEM,
                r -> done(() -> mPlaces.suspend(r.getSuspendItem())));
        HealthServer health = new HealthServer(mVertx, mState, mMetrics);
        registerGauges();
        mConfigMirror.start();
        mTargetMirror.start();
        mControlMirror.start();
        mLease.start();
        mReports.start();
        mLoads.onEnd(mReports::reportSoon);
        mJobOwner.start(mReports::reportSoon);
        mPlaces.start();
        mVertx.setPeriodic(RATE_REFRESH_MS, t -> refresh());
        LOG.info(
                "step=start host={} failure_domain={} callers={} peers={}",
                mSettings.host(),
                mSettings.failureDomain(),
                NodeSettings.formatAddress(mSettings.callerAddress()),
                NodeSettings.formatAddress(mSettings.peerAddress()));
        return Future.all(
                        server.start(),
                        health.start(mSettings.readyAddress(), mSettings.metricsAddress()))
                .mapEmpty();
    }

    private static Future<PeerReply> done(Runnable action) {
        action.run();
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private void refresh() {
        mRates.refresh();
        mLoads.retainRegistered(mState);
    }

    private void registerGauges() {
        mMetrics.gauge(
                "sesamepin_config_version",
                "Configuration in force.",
                () -> mState.config().version());
        mMetrics.gauge(
                "sesamepin_targets",
                "Registered targets.",
                () -> mState.targets().targetsById().size());
        mMetrics.gauge("sesamepin_peers", "Peers heard lately.", () -> mPeers.reachable().size());
        mMetrics.gauge(
                "sesamepin_store_reachable",
                "1 when the store answered the last call of this host itself.",
                () -> mStore.isDirectlyReachable() ? 1 : 0);
        mMetrics.gauge(
                "sesamepin_requests_waiting",
                "Requests of all hosts that wait here for a slot.",
                () -> mPlaces.coordinator().queued());
        mMetrics.gauge("sesamepin_jobs_owned", "Jobs owned.", mJobOwner::ownedJobCount);
        mMetrics.gauge(
                "sesamepin_items_running", "Batch items that run.", mJobOwner::runningItemCount);
    }

    private void storeSilent() {
        mStore.reconnect();
        mConfigMirror.refresh();
        mTargetMirror.refresh();
        mControlMirror.refresh();
    }

    /**
     * Stops taking calls and completes when those that run have ended, or when the time for the
     * stop is nearly over.
     */
    public Future<Void> stop(CallHandler calls) {
        long startedAt = mTicker.nanoTime();
        mState.drain();
        LOG.info("step=stop host={} running={}", mSettings.host(), calls.running());
        return mJobOwner
                .handOver()
                .onComplete(done -> mLease.release())
                .transform(done -> drained(calls, startedAt));
    }

    private Future<Void> drained(CallHandler calls, long startedAt) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - startedAt);
        boolean quiet = calls.running() == 0 && elapsed >= BALANCER_LAG_MS;
        if (quiet || elapsed >= mSettings.stopWithinMs() - STOP_MARGIN_MS) {
            LOG.info(
                    "step=stopped host={} running={} ms={}",
                    mSettings.host(),
                    calls.running(),
                    elapsed);
            return Future.succeededFuture();
        }
        return mVertx.timer(STOP_CHECK_MS, TimeUnit.MILLISECONDS)
                .compose(t -> drained(calls, startedAt));
    }

    @Override
    public void close() throws Exception {
        mCloser.close();
    }
}
