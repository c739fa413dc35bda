package org.sesamepin.node;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.batch.BatchRunner;
import org.sesamepin.node.batch.JobService;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.fleet.HostRecord;
import org.sesamepin.node.fleet.KeyFreshness;
import org.sesamepin.node.online.ActiveRequestRegistry;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.prompt.SharedPromptGuard;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.slot.SlotService;

/** What a node tells of itself: to operators, to other nodes and in its record in the store. */
final class NodeStatus {
    private final NodeSettings mSettings;
    private final long mIncarnation;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final KeyFreshness mFreshness;
    private final ShareLease mShareLease;
    private final SlotService mSlots;
    private final JobService mJobs;
    private final BatchRunner mBatchRunner;
    private final ActiveRequestRegistry mActiveRequests;
    private final SharedPromptGuard mPromptGuard;
    private final BooleanSupplier mStoreReachable;

    NodeStatus(
            NodeSettings settings,
            long incarnation,
            FleetView fleet,
            BundleManager bundles,
            KeyFreshness freshness,
            ShareLease shareLease,
            SlotService slots,
            JobService jobs,
            BatchRunner batchRunner,
            ActiveRequestRegistry activeRequests,
            SharedPromptGuard promptGuard,
            BooleanSupplier storeReachable) {
        mSettings = settings;
        mIncarnation = incarnation;
        mFleet = fleet;
        mBundles = bundles;
        mFreshness = freshness;
        mShareLease = shareLease;
        mSlots = slots;
        mJobs = jobs;
        mBatchRunner = batchRunner;
        mActiveRequests = activeRequests;
        mPromptGuard = promptGuard;
        mStoreReachable = storeReachable;
    }

    /** Returns what the node sends with each heartbeat. */
    HostState hostState() {
        HostState state = new HostState();
        state.setHost(mSettings.host());
        state.setIncarnation(mIncarnation);
        state.setEpoch(mShareLease.assignment().epoch());
        state.setReleasedEpoch(mShareLease.releasedEpoch());
        state.setSettled(mShareLease.isSettled());
        state.setBundleVersion(mBundles.current().version());
        state.setHeadAgeMs(mBundles.headAgeMs());
        state.setDraining(mFleet.isDraining());
        state.setView(mFleet.view());
        state.setTargets(mSlots.ownedTargetLoads());
        state.setPendingItems(mJobs.pendingItems());
        state.setPeerAddress(NodeSettings.formatAddress(mSettings.peerAddress()));
        return state;
    }

    /** Returns the record of the node in the store. */
    HostRecord hostRecord(boolean leaving) {
        return new HostRecord(
                mSettings.host(),
                mIncarnation,
                mSettings.failureDomain(),
                mSettings.weight(),
                NodeSettings.formatAddress(mSettings.peerAddress()),
                NodeSettings.formatAddress(mSettings.adminAddress()),
                NodeSettings.formatAddress(mSettings.callerAddress()),
                mBundles.current().version(),
                leaving,
                mBundles.rejectionReason());
    }

    /** Returns why the node is not ready to serve requests; empty when it is ready. */
    String unreadyReason() {
        if (mFleet.isDraining()) {
            return "stopping";
        }
        if (mBundles.current().version() == 0) {
            return "no bundle in force";
        }
        if (!mFreshness.isFresh()) {
            return "cut off from the store and from most peers";
        }
        return mShareLease.fraction() > 0 ? "" : "waiting for a share of the customers' rates";
    }

    /** Registers the gauges of the node's state. */
    void registerGauges(NodeMetrics metrics) {
        metrics.registerGauge(
                "sesamepin_bundle_version",
                "Bundle version in force.",
                () -> mBundles.current().version());
        metrics.registerGauge(
                "sesamepin_head_age_seconds",
                "Age of the last confirmation by the store.",
                () -> mBundles.headAgeMs() / 1_000.0);
        metrics.registerGauge(
                "sesamepin_live_hosts", "Hosts in the view.", () -> mFleet.view().size());
        metrics.registerGauge(
                "sesamepin_rate_share", "Own share of the rates.", mShareLease::fraction);
        metrics.registerGauge(
                "sesamepin_batch_running", "Batch items that run.", mBatchRunner::runningItemCount);
        metrics.registerGauge(
                "sesamepin_prompts_quarantined",
                "Prompt parts that are not sent to targets.",
                mPromptGuard::quarantineCount);
        metrics.registerGauge(
                "sesamepin_target_ends",
                "Targets that ended under requests of this host.",
                mPromptGuard::endCount);
        metrics.registerGauge("sesamepin_jobs_owned", "Jobs owned.", mJobs::ownedJobCount);
        metrics.registerGauge(
                "sesamepin_requests_running", "Online requests.", mActiveRequests::size);
    }

    /** Returns the state of the node that {@code /status} shows to operators. */
    JsonObject toJson() {
        JsonArray peers = new JsonArray();
        for (HostState peer : mFleet.livePeerStates()) {
            peers.add(
                    new JsonObject()
                            .put("host", peer.getHost())
                            .put("version", peer.getBundleVersion())
                            .put("epoch", peer.getEpoch()));
        }
        List<JsonObject> targets =
                mSlots.ownedTargetLoads().stream()
                        .map(
                                load ->
                                        new JsonObject()
                                                .put("target", load.getTarget())
                                                .put("free", load.getFreeSlots())
                                                .put("batch", load.getBatchRunning())
                                                .put("queued", load.getQueued())
                                                .put("failing", load.isFailing()))
                        .toList();
        return new JsonObject()
                .put("host", mSettings.host())
                .put("unready", unreadyReason())
                .put("version", mBundles.current().version())
                .put("refused", mBundles.rejectionReason())
                .put("epoch", mShareLease.assignment().epoch())
                .put("settled", mShareLease.isSettled())
                .put("share", mShareLease.fraction())
                .put("store_reachable", mStoreReachable.getAsBoolean())
                .put("head_age_ms", mBundles.headAgeMs())
                .put("view", new JsonArray(mFleet.view()))
                .put("peers", peers)
                .put("targets_owned", new JsonArray(targets))
                .put("jobs_owned", mJobs.ownedJobCount())
                .put("batch_running", mBatchRunner.runningItemCount())
                .put("requests_running", mActiveRequests.size());
    }
}
