package org.sesamepin.node.job;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingFixture;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.serving.StoreMirror;
import org.sesamepin.node.serving.WatchRateLimiter;

/**
 * The components of one host that accept and run jobs, on a store that the test supplies. There are
 * no peers, and no targets unless the test sets them, so that items stay open. Confined to the
 * event loop that creates it.
 */
final class JobHost implements AutoCloseable {
    /** Size of the largest value that the store is said to take, bytes. */
    static final int MAX_VALUE_BYTES = 1 << 20;

    private static final long RETENTION_MS = 100_000;

    private final JobIndex mIndex = new JobIndex(Ticker.SYSTEM);
    private final ServingFixture mFixture;
    private final HostLease mLease;
    private final JobRunner mRunner;
    private final StoreMirror mMirror;
    private final JobRequestHandler mHandler;
    private final JobContentReader mReader;

    /** Starts a host. */
    JobHost(
            Vertx vertx,
            MemoryStore store,
            String host,
            long incarnation,
            ServingConfig config,
            LongSupplier watchIntervalMs) {
        mFixture = new ServingFixture(vertx);
        mFixture.state().activateIfNewer(config);
        mLease =
                new HostLease(
                        vertx, Ticker.SYSTEM, store, host, incarnation, "127.0.0.1:1", 1, () -> {});
        JobStorage storage = new JobStorage(store, MAX_VALUE_BYTES);
        mRunner = new JobRunner(mFixture.context(), storage, mIndex, mLease, RETENTION_MS);
        mMirror =
                new StoreMirror(
                        vertx,
                        store,
                        ServingKeys.CONTROL_PREFIX,
                        mIndex,
                        new WatchRateLimiter(Ticker.SYSTEM, watchIntervalMs));
        mHandler =
                new JobRequestHandler(
                        mFixture.context(),
                        storage,
                        mIndex,
                        mLease,
                        mRunner,
                        mFixture.peers(),
                        mFixture.peerClient(),
                        mMirror::watchNow);
        mReader =
                new JobContentReader(
                        mFixture.context(),
                        storage,
                        mIndex,
                        mRunner,
                        mFixture.peers(),
                        mFixture.peerClient());
        mLease.start();
        mMirror.start();
        mRunner.start(() -> {});
    }

    JobRequestHandler handler() {
        return mHandler;
    }

    JobContentReader reader() {
        return mReader;
    }

    JobIndex index() {
        return mIndex;
    }

    /** Sets the targets that the host may use. */
    void setTargets(List<TargetInstance> targets) {
        mFixture.state().setTargets(targets);
    }

    /** Makes a peer known to the host, which has just heard from it. */
    void addPeer(String name, String address) {
        mFixture.peers().register(new PeerTable.Peer(name, address, 1));
        mFixture.peers().recordContact(name, true);
    }

    /** Makes the host receive no further changes from the store. */
    void stopWatching() {
        mMirror.close();
    }

    /** Returns whether this host runs a job. */
    boolean runs(String jobId) {
        return mRunner.ownedJob(jobId) != null;
    }

    /** Returns the item that nothing has worked on for the longest time, or null. */
    IdleItemMonitor.@Nullable IdleItem oldestIdleItem() {
        return mRunner.oldestIdleItem();
    }

    /** Completes an item of a job that this host runs. */
    void complete(String jobId, int index, String output) {
        OwnedJob job = mRunner.ownedJob(jobId);
        if (job == null) {
            throw new IllegalStateException("this host does not run " + jobId);
        }
        long nowNanos = mFixture.context().ticker().nanoTime();
        job.progress().recordStart(index, nowNanos);
        job.progress().appendEvent(index, 1, output);
        job.progress().recordCompletion(index);
    }

    /** Returns a configuration with one route and no targets. */
    static ServingConfig configOf(ServingRoute route) {
        return new ServingConfig(1, List.of(route), List.of(), null, ConnectionLimits.DEFAULT);
    }

    /** Returns a route for jobs of which customers may have {@code maxQueuedTokens} queued. */
    static ServingRoute batchRoute(long maxQueuedTokens) {
        return batchRoute("r", maxQueuedTokens);
    }

    /** Returns a route for jobs of which customers may have {@code maxQueuedTokens} queued. */
    static ServingRoute batchRoute(String name, long maxQueuedTokens) {
        return new ServingRoute(
                name,
                "h",
                "/b/",
                RouteKind.BATCH,
                0,
                0,
                0,
                List.of(new ServiceShare("s", 1)),
                3,
                false,
                0,
                0,
                0,
                maxQueuedTokens);
    }

    /** Returns the items of a job with one item. */
    static List<JobItem> oneItem(long tokens) {
        return List.of(new JobItem("i", "/b/1", Map.of(), new byte[0], tokens));
    }

    @Override
    public void close() {
        mRunner.close();
        mMirror.close();
        mLease.close();
        mFixture.close();
    }
}
