package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.FreePorts;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Plays random histories of acceptances and cancellations in a fleet whose watches are deferred as
 * those of 24 hosts or more are, with faults of the store, watches and leases, and counts the hosts
 * in touch with the store that run a job too long after its cancellation was acknowledged.
 */
class CancelledJobFleetTest {
    private static final int SEEDS = Integer.getInteger("schedules", 1);
    private static final int FIRST_SEED = Integer.getInteger("schedules.first", 1);
    private static final int HOSTS = 70;
    private static final int STEPS = 80;
    private static final List<OutageStore.Mode> FAULTS =
            List.of(OutageStore.Mode.SLOW, OutageStore.Mode.REFUSING, OutageStore.Mode.SILENT);

    private static final long STEP_MS = 100;
    private static final long CHECK_INTERVAL_MS = 50;
    private static final long WATCH_INTERVAL_MS = 3_000;
    private static final long MAX_RUN_MS = 2_500;

    /** Time after which the store no longer carries out a call, milliseconds. */
    private static final int MAX_CALL_MS = 900;

    private static final ServingRoute ROUTE = JobHost.batchRoute(0);

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();
    private final List<OutageStore> mStores = new ArrayList<>();
    private final List<PeerServer> mServers = new ArrayList<>();
    private final List<String> mOpen = new ArrayList<>();
    private final Map<String, Long> mCancelledAt = new HashMap<>();
    private final Map<String, Integer> mReplacements = new HashMap<>();
    private final Map<String, Long> mLateJobs = new TreeMap<>();
    private int mJobs;
    private long mLatestMs;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @AfterEach
    void close() throws Exception {
        read(
                () -> {
                    mHosts.forEach(JobHost::close);
                    return true;
                });
        for (PeerServer server : mServers) {
            server.close();
        }
        mVertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private <T> T read(Supplier<T> value) throws Exception {
        return runOnEventLoop(() -> Future.succeededFuture(value.get()));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noHostRunsAJobLongAfterItsCancellation(long seed) throws Exception {
        Random random = new Random(seed);
        startHosts(random);
        long timer = read(() -> mVertx.setPeriodic(CHECK_INTERVAL_MS, t -> checkOwners()));
        for (int step = 0; step < STEPS; step++) {
            read(() -> disturb(random));
            Thread.sleep(STEP_MS);
        }
        read(() -> calm(random));
        Thread.sleep(MAX_RUN_MS + 2_500);
        read(() -> mVertx.cancelTimer(timer));
        System.out.printf(
                "seed=%d jobs=%d cancelled=%d latest_ms=%d late=%d%n",
                seed, mJobs, mCancelledAt.size(), mLatestMs, mLateJobs.size());
        assertTrue(mCancelledAt.size() >= 20, "cancelled jobs: " + mCancelledAt.size());
        assertEquals(Map.of(), mLateJobs);
    }

    private void startHosts(Random random) throws Exception {
        Random storeRandom = new Random(random.nextLong());
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            String name = "h" + i;
            long incarnation = i + 1;
            read(
                    () -> {
                        OutageStore store = new OutageStore(mVertx, mStore, storeRandom);
                        mStores.add(store);
                        return mHosts.add(
                                new JobHost(
                                        mVertx,
                                        store,
                                        name,
                                        incarnation,
                                        JobHost.configOf(ROUTE),
                                        () -> WATCH_INTERVAL_MS));
                    });
            addresses.add(startPeerServer(mHosts.get(i)));
        }
        read(() -> addPeers(addresses));
        Thread.sleep(500);
    }

    private InetSocketAddress startPeerServer(JobHost host) throws Exception {
        InetSocketAddress address = FreePorts.address();
        PeerServer server = new PeerServer(mVertx, address);
        server.registerHandler(
                PeerRequest._Fields.JOB_NOTICE,
                request -> {
                    host.handleCancellationNotice(request.getJobNotice().getJobId());
                    return Future.succeededFuture(PeerReply.done(new Done()));
                });
        runOnEventLoop(server::start);
        mServers.add(server);
        return address;
    }

    private boolean addPeers(List<InetSocketAddress> addresses) {
        for (int i = 0; i < HOSTS; i++) {
            for (int j = 0; j < HOSTS; j++) {
                if (i != j) {
                    String address = NodeSettings.formatAddress(addresses.get(j));
                    mHosts.get(i).addPeer("h" + j, address);
                }
            }
        }
        return true;
    }

    private void checkOwners() {
        long now = System.nanoTime();
        mCancelledAt.forEach(
                (jobId, cancelledAt) -> {
                    long sinceMs = TimeUnit.NANOSECONDS.toMillis(now - cancelledAt);
                    for (int i = 0; i < HOSTS; i++) {
                        boolean isInTouch = mStores.get(i).inTouchMs() >= MAX_RUN_MS;
                        if (isInTouch && mHosts.get(i).runs(jobId)) {
                            mLatestMs = Math.max(mLatestMs, sinceMs);
                            if (sinceMs > MAX_RUN_MS) {
                                mLateJobs.put("h" + i + " " + jobId, sinceMs);
                            }
                        }
                    }
                });
    }

    private int disturb(Random random) {
        return switch (random.nextInt(16)) {
            case 0, 1, 2 -> submitSome(random, 1);
            case 3 -> submitSome(random, 8);
            case 4, 5, 6, 7 -> cancelOne(random);
            case 8 -> submitAndCancelSoon(random);
            case 9, 10 -> disturbWatches(random);
            case 11 -> disturbStore(random);
            case 12 -> loseAllConnections(random);
            case 13 -> endLease(random);
            case 14 -> markWithoutAnswer(random);
            default -> replaceJob(random);
        };
    }

    private int submitSome(Random random, int count) {
        for (int i = 0; i < count; i++) {
            String jobId = "job" + ++mJobs;
            beginAccept(jobId, random.nextInt(HOSTS), 1).onSuccess(v -> mOpen.add(jobId));
        }
        return count;
    }

    private Future<Void> beginAccept(String jobId, int host, int attempt) {
        List<JobItem> items = JobHost.oneItem(10);
        return mHosts.get(host % HOSTS)
                .handler()
                .accept(jobId, "c" + jobId.hashCode() % 3, ROUTE, items)
                .otherwise(Acceptance.UNKNOWN)
                .compose(
                        acceptance -> {
                            if (acceptance == Acceptance.ACCEPTED) {
                                return Future.succeededFuture();
                            }
                            if (attempt >= 8) {
                                return Future.failedFuture("not accepted");
                            }
                            return mVertx.timer(200, TimeUnit.MILLISECONDS)
                                    .compose(t -> beginAccept(jobId, host + 1, attempt + 1));
                        });
    }

    private int cancelOne(Random random) {
        if (mOpen.isEmpty()) {
            return submitSome(random, 1);
        }
        String jobId = mOpen.remove(random.nextInt(mOpen.size()));
        int host = random.nextInt(HOSTS);
        beginCancel(jobId, host, 1);
        if (random.nextInt(3) == 0) {
            int replacements = mReplacements.getOrDefault(jobId, 0);
            mVertx.setTimer(
                    1 + random.nextInt(500), t -> beginCancel(jobId, replacements, host + 1, 1));
        }
        return host;
    }

    private void beginCancel(String jobId, int host, int attempt) {
        beginCancel(jobId, mReplacements.getOrDefault(jobId, 0), host, attempt);
    }

    private void beginCancel(String jobId, int replacements, int host, int attempt) {
        if (mReplacements.getOrDefault(jobId, 0) != replacements) {
            return;
        }
        mHosts.get(host % HOSTS)
                .handler()
                .cancel(jobId)
                .onSuccess(v -> recordCancellation(jobId, replacements))
                .onFailure(
                        e -> {
                            if (attempt < 8) {
                                mVertx.setTimer(
                                        200,
                                        t ->
                                                beginCancel(
                                                        jobId,
                                                        replacements,
                                                        host + 1,
                                                        attempt + 1));
                            }
                        });
    }

    private void recordCancellation(String jobId, int replacements) {
        if (mReplacements.getOrDefault(jobId, 0) == replacements) {
            mCancelledAt.putIfAbsent(jobId, System.nanoTime());
        }
    }

    private int submitAndCancelSoon(Random random) {
        String jobId = "job" + ++mJobs;
        int host = random.nextInt(HOSTS);
        long delayMs = 1 + random.nextInt(6);
        beginAccept(jobId, host, 1)
                .onSuccess(v -> mVertx.setTimer(delayMs, t -> beginCancel(jobId, host + 1, 1)));
        return host;
    }

    private int disturbWatches(Random random) {
        OutageStore.WatchMode[] modes = OutageStore.WatchMode.values();
        OutageStore.WatchMode mode = modes[1 + random.nextInt(modes.length - 1)];
        int first = random.nextInt(HOSTS);
        int count = 1 + random.nextInt(HOSTS);
        for (int i = 0; i < count; i++) {
            OutageStore store = mStores.get((first + i) % HOSTS);
            store.setWatchMode(mode);
            mVertx.setTimer(
                    1_000 + random.nextInt(5_000),
                    t -> store.setWatchMode(OutageStore.WatchMode.SOUND));
        }
        return count;
    }

    private int disturbStore(Random random) {
        OutageStore.Mode mode = FAULTS.get(random.nextInt(FAULTS.size()));
        int first = random.nextInt(HOSTS);
        int count = 1 + random.nextInt(8);
        for (int i = 0; i < count; i++) {
            OutageStore store = mStores.get((first + i) % HOSTS);
            store.setMode(mode);
            mVertx.setTimer(
                    300 + random.nextInt(4_000), t -> store.setMode(OutageStore.Mode.SOUND));
        }
        return count;
    }

    /** All hosts lose their connections within 30 ms, for a moment or for a second or two. */
    private int loseAllConnections(Random random) {
        boolean isAway = random.nextInt(3) == 0;
        long durationMs = 200 + random.nextInt(1_500);
        for (OutageStore store : mStores) {
            mVertx.setTimer(
                    1 + random.nextInt(30), t -> loseConnections(store, isAway, durationMs));
        }
        return mStores.size();
    }

    private void loseConnections(OutageStore store, boolean isAway, long durationMs) {
        store.loseWatches();
        if (isAway) {
            store.setMode(OutageStore.Mode.REFUSING);
            mVertx.setTimer(durationMs, t -> store.setMode(OutageStore.Mode.SOUND));
        }
    }

    /** Ends the lease of a host that runs on, so that others claim its jobs. */
    private int endLease(Random random) {
        int host = random.nextInt(HOSTS);
        mStore.expireLeaseOf(ServingKeys.host("h" + host));
        return host;
    }

    /** Writes a cancellation whose answer is lost; the caller repeats it later. */
    private int markWithoutAnswer(Random random) {
        if (mOpen.isEmpty()) {
            return 0;
        }
        String jobId = mOpen.remove(random.nextInt(mOpen.size()));
        mStore.commit(
                new StoreTransaction().put(ServingKeys.cancellation(jobId), new byte[] {'1'}, 0));
        int host = random.nextInt(HOSTS);
        mVertx.setTimer(1 + random.nextInt(1_500), t -> beginCancel(jobId, host, 1));
        return host;
    }

    /** Removes a job that was cancelled a while ago, and submits one with its id. */
    private int replaceJob(Random random) {
        long before = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MAX_RUN_MS + 500);
        String jobId =
                mCancelledAt.entrySet().stream()
                        .filter(entry -> entry.getValue() < before)
                        .map(Map.Entry::getKey)
                        .min(String::compareTo)
                        .orElse("");
        if (jobId.isEmpty()) {
            return 0;
        }
        mCancelledAt.remove(jobId);
        mReplacements.merge(jobId, 1, Integer::sum);
        mStore.commit(
                new StoreTransaction()
                        .delete(ServingKeys.itemPart(jobId, 0))
                        .delete(ServingKeys.job(jobId))
                        .delete(ServingKeys.cancellation(jobId)));
        int host = random.nextInt(HOSTS);
        mVertx.setTimer(
                MAX_CALL_MS + random.nextInt(1_000),
                t -> beginAccept(jobId, host, 1).onSuccess(v -> mOpen.add(jobId)));
        return host;
    }

    /** Ends all disturbances, and cancels half of the open jobs. */
    private int calm(Random random) {
        mStores.forEach(store -> store.setMode(OutageStore.Mode.SOUND));
        int count = mOpen.size() / 2;
        for (int i = 0; i < count; i++) {
            cancelOne(random);
        }
        return count;
    }
}
