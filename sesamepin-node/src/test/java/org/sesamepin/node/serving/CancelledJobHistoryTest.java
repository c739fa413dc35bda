package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.job.OutageStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Plays random histories of acceptances and cancellations of jobs, faults of the store and of
 * watches, ended leases, lost and stopped hosts and preemptions, and counts the items that targets
 * receive too long after the cancellation of their job was acknowledged.
 */
class CancelledJobHistoryTest {
    private static final int SEEDS = Integer.getInteger("schedules", 2);
    private static final int FIRST_SEED = Integer.getInteger("schedules.first", 2);
    private static final int NODES = 3;
    private static final int FURTHER_HOSTS = 22;
    private static final int TARGETS = 6;
    private static final int STEPS = 45;
    private static final List<OutageStore.Mode> FAULTS =
            List.of(OutageStore.Mode.SLOW, OutageStore.Mode.REFUSING, OutageStore.Mode.SILENT);

    private static final long STEP_MS = 120;
    private static final int FIRST_JOBS = 8;

    /** Jobs that nobody cancels at the end of a history, so that their items have to be done. */
    private static final int KEPT_JOBS = 3;

    /** Time after an acknowledged cancellation from which on no item of the job may be sent. */
    private static final long MAX_SENT_MS = 2_500;

    /** Time after which the store no longer carries out a call, milliseconds. */
    private static final int MAX_CALL_MS = 900;

    /** Time without a renewal after which the lease of a node ends. */
    private static final long LEASE_MS = 4_000;

    private static final long FINISH_MS = 18_000;

    /** A job of a history, one of possibly several with its id. */
    private static final class Job {
        final String mId;
        final int mNumber;
        final int mItems;
        boolean mCancelRequested;
        boolean mAccepted;
        boolean mReplaced;
        long mCancelledAt;

        Job(String id, int number, int items) {
            mId = id;
            mNumber = number;
            mItems = items;
        }

        List<String> parts() {
            return IntStream.range(0, mItems).mapToObj(i -> mNumber + "/" + i).toList();
        }
    }

    private final List<Job> mJobs = new ArrayList<>();
    private final Map<String, OutageStore> mStores = new HashMap<>();
    private final List<String> mNodes = new ArrayList<>();
    private final Map<String, Long> mLateItems = new TreeMap<>();
    private int mSentAfter;
    private long mLatestMs;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /**
     * A host in touch with the store must not send items of cancelled jobs; all others get done.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void noItemIsSentLongAfterTheCancellationOfItsJob(long seed) throws Exception {
        Random random = new Random(seed);
        int slots = seed % 2 == 0 ? 0 : StandInTargets.SLOTS;
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(), slots)) {
            start(fleet, random);
            if (seed / 2 % 2 == 1) {
                onLoop(fleet, () -> registerFurtherHosts(fleet));
            }
            for (int i = 0; i < FIRST_JOBS; i++) {
                onLoop(fleet, () -> submit(fleet, random));
            }
            for (int step = 0; step < STEPS; step++) {
                disturb(fleet, random);
                Thread.sleep(STEP_MS);
            }
            onLoop(fleet, () -> calm(fleet, random));
            Thread.sleep(MAX_SENT_MS + 1_500);
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_MS);
            while (System.nanoTime() - deadline < 0 && !unfinished(fleet).isEmpty()) {
                Thread.sleep(100);
            }
            long cancelled = mJobs.stream().filter(job -> job.mCancelledAt != 0).count();
            System.out.printf(
                    "seed=%d jobs=%d cancelled=%d items_after=%d latest_ms=%d late=%d%n",
                    seed, mJobs.size(), cancelled, mSentAfter, mLatestMs, mLateItems.size());
            assertTrue(cancelled >= 5, "cancelled jobs: " + cancelled);
            assertEquals(Map.of(), mLateItems);
            assertEquals(Map.of(), unfinished(fleet));
        }
    }

    private void start(LoopbackFleet fleet, Random random) throws Exception {
        Random storeRandom = new Random(random.nextLong());
        fleet.setStoreOfNode(
                name -> {
                    OutageStore store = new OutageStore(fleet.vertx(), fleet.store(), storeRandom);
                    mNodes.add(name);
                    mStores.put(name, store);
                    return store;
                });
        fleet.start(NODES, TARGETS);
        onLoop(
                fleet,
                () -> {
                    fleet.targets().setFirstEventMs(90);
                    fleet.targets().setEventIntervalMs(90);
                    fleet.targets().setOnArrival(this::recordArrival);
                    return 0;
                });
    }

    /** Registers hosts that do not run; the watches of jobs are deferred for 3 s with them. */
    private static int registerFurtherHosts(LoopbackFleet fleet) {
        StoreTransaction registrations = new StoreTransaction();
        for (int i = 0; i < FURTHER_HOSTS; i++) {
            JsonObject registration =
                    new JsonObject()
                            .put("peer", "127.0.0.1:1")
                            .put("incarnation", i + 1)
                            .put("cores", 1);
            registrations.put(ServingKeys.host("further" + i), registration.encode());
        }
        fleet.store().commit(registrations);
        return FURTHER_HOSTS;
    }

    private void recordArrival(HttpServerRequest request) {
        String part = request.getHeader("Part");
        int slash = part.indexOf('/');
        if (slash < 0) {
            return;
        }
        Job job = mJobs.get(Integer.parseInt(part.substring(0, slash)));
        if (job.mCancelledAt == 0) {
            return;
        }
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - job.mCancelledAt);
        String host = request.getHeader("From");
        long inTouchMs = storeOf(host).inTouchMs();
        mSentAfter++;
        if (inTouchMs >= MAX_SENT_MS) {
            mLatestMs = Math.max(mLatestMs, sinceMs);
            if (sinceMs > MAX_SENT_MS) {
                mLateItems.put(host + " " + job.mId + " " + part, sinceMs);
            }
        }
    }

    private void disturb(LoopbackFleet fleet, Random random) throws Exception {
        switch (random.nextInt(18)) {
            case 0, 1, 2 -> onLoop(fleet, () -> submit(fleet, random));
            case 3, 4, 5, 6 -> onLoop(fleet, () -> cancelOne(fleet, random));
            case 7 -> onLoop(fleet, () -> submitAndCancelSoon(fleet, random));
            case 8, 9, 10 -> onLoop(fleet, () -> disturbWatches(fleet, random));
            case 11 -> onLoop(fleet, () -> disturbStore(fleet, random, randomNode(random)));
            case 12 -> onLoop(fleet, () -> disturbAllStores(fleet, random));
            case 13 -> onLoop(fleet, () -> endLease(fleet, random));
            case 14 -> replaceNode(fleet, random);
            case 15 -> onLoop(fleet, () -> preempt(fleet, random));
            case 16 -> onLoop(fleet, () -> markWithoutAnswer(fleet, random));
            default -> onLoop(fleet, () -> replaceJob(fleet, random));
        }
    }

    private String randomNode(Random random) {
        return mNodes.get(random.nextInt(mNodes.size()));
    }

    private Job addJob(Random random) {
        int number = mJobs.size();
        Job job = new Job("job" + number + "-", number, 20 + random.nextInt(40));
        mJobs.add(job);
        return job;
    }

    private Job submit(LoopbackFleet fleet, Random random) {
        Job job = addJob(random);
        beginAccept(fleet, job, random.nextInt(mNodes.size()), 1);
        return job;
    }

    /** Submits a job to one node after another until it is accepted, as callers do. */
    private void beginAccept(LoopbackFleet fleet, Job job, int node, int attempt) {
        fleet.beginAccept(node % mNodes.size(), job.mId, job.parts())
                .otherwise(Acceptance.UNKNOWN)
                .onSuccess(
                        acceptance -> {
                            if (acceptance == Acceptance.ACCEPTED) {
                                job.mAccepted = true;
                            } else if (attempt < 8) {
                                repeat(fleet, () -> beginAccept(fleet, job, node + 1, attempt + 1));
                            }
                        });
    }

    private static void repeat(LoopbackFleet fleet, Runnable call) {
        fleet.vertx().setTimer(200, t -> call.run());
    }

    private Job cancelOne(LoopbackFleet fleet, Random random) {
        List<Job> open =
                mJobs.stream().filter(job -> job.mAccepted && !job.mCancelRequested).toList();
        if (open.isEmpty()) {
            return submit(fleet, random);
        }
        // Items of the oldest jobs are sent first.
        int oldest = Math.min(open.size(), random.nextBoolean() ? 3 : open.size());
        Job job = open.get(random.nextInt(oldest));
        cancel(fleet, random, job);
        return job;
    }

    /** Cancels a job at a random node, and now and then at another one, too. */
    private void cancel(LoopbackFleet fleet, Random random, Job job) {
        job.mCancelRequested = true;
        int node = random.nextInt(mNodes.size());
        beginCancel(fleet, job, node, 1);
        if (random.nextInt(3) == 0) {
            long delayMs = 1 + random.nextInt(500);
            fleet.vertx().setTimer(delayMs, t -> beginCancel(fleet, job, node + 1, 1));
        }
    }

    private void beginCancel(LoopbackFleet fleet, Job job, int node, int attempt) {
        if (mNodes.isEmpty() || job.mReplaced || !job.mAccepted) {
            return;
        }
        fleet.node(node % mNodes.size())
                .jobs()
                .cancel(job.mId)
                .onSuccess(v -> recordCancellation(job))
                .onFailure(
                        e -> {
                            if (attempt < 8) {
                                repeat(fleet, () -> beginCancel(fleet, job, node + 1, attempt + 1));
                            }
                        });
    }

    private static void recordCancellation(Job job) {
        if (job.mCancelledAt == 0) {
            job.mCancelledAt = System.nanoTime();
        }
    }

    private Job submitAndCancelSoon(LoopbackFleet fleet, Random random) {
        Job job = addJob(random);
        job.mCancelRequested = true;
        int node = random.nextInt(mNodes.size());
        long delayMs = 1 + random.nextInt(6);
        fleet.beginAccept(node, job.mId, job.parts())
                .onSuccess(
                        acceptance -> {
                            if (acceptance == Acceptance.ACCEPTED) {
                                job.mAccepted = true;
                                fleet.vertx()
                                        .setTimer(
                                                delayMs, t -> beginCancel(fleet, job, node + 1, 1));
                            }
                        });
        return job;
    }

    private int disturbWatches(LoopbackFleet fleet, Random random) {
        OutageStore.WatchMode[] modes = OutageStore.WatchMode.values();
        OutageStore.WatchMode mode = modes[1 + random.nextInt(modes.length - 1)];
        List<String> nodes =
                random.nextBoolean() ? List.copyOf(mNodes) : List.of(randomNode(random));
        for (String node : nodes) {
            storeOf(node).setWatchMode(mode);
            fleet.vertx()
                    .setTimer(
                            1_000 + random.nextInt(5_000),
                            t -> storeOf(node).setWatchMode(OutageStore.WatchMode.SOUND));
        }
        return nodes.size();
    }

    /** Makes the store slow or away for a node, whose lease may end meanwhile. */
    private long disturbStore(LoopbackFleet fleet, Random random, String node) {
        OutageStore.Mode mode = FAULTS.get(random.nextInt(FAULTS.size()));
        long durationMs = 300 + random.nextInt(5_000);
        disturbStore(fleet, node, mode, durationMs);
        if (mode != OutageStore.Mode.SLOW && durationMs > LEASE_MS) {
            expireLater(fleet, node, LEASE_MS);
        }
        return durationMs;
    }

    private void disturbStore(
            LoopbackFleet fleet, String node, OutageStore.Mode mode, long durationMs) {
        OutageStore store = storeOf(node);
        store.setMode(mode);
        fleet.vertx()
                .setTimer(
                        durationMs,
                        t -> {
                            if (mNodes.contains(node) && store == mStores.get(node)) {
                                store.setMode(OutageStore.Mode.SOUND);
                            }
                        });
    }

    /** All hosts lose their connections within 30 ms, for a moment or for a second or two. */
    private int disturbAllStores(LoopbackFleet fleet, Random random) {
        boolean isAway = random.nextBoolean();
        OutageStore.Mode mode =
                random.nextBoolean() ? OutageStore.Mode.REFUSING : OutageStore.Mode.SILENT;
        long durationMs = 200 + random.nextInt(2_000);
        for (String node : mNodes) {
            long delayMs = 1 + random.nextInt(30);
            fleet.vertx()
                    .setTimer(
                            delayMs,
                            t -> {
                                storeOf(node).loseWatches();
                                if (isAway) {
                                    disturbStore(fleet, node, mode, durationMs);
                                }
                            });
        }
        return mNodes.size();
    }

    private static void expireLater(LoopbackFleet fleet, String node, long delayMs) {
        long lease = fleet.store().leaseOf(ServingKeys.host(node));
        fleet.vertx().setTimer(delayMs, t -> fleet.store().expireLease(lease));
    }

    /** Ends the lease of a node that runs on, so that others claim its jobs. */
    private long endLease(LoopbackFleet fleet, Random random) {
        fleet.store().expireLeaseOf(ServingKeys.host(randomNode(random)));
        return 0;
    }

    private int preempt(LoopbackFleet fleet, Random random) {
        int node = random.nextInt(mNodes.size());
        int requests = 20 + random.nextInt(40);
        for (int i = 0; i < requests; i++) {
            fleet.send(node, List.of("online" + random.nextInt()));
        }
        return requests;
    }

    /** Writes a cancellation whose answer is lost; the caller repeats it later. */
    private long markWithoutAnswer(LoopbackFleet fleet, Random random) {
        List<Job> open =
                mJobs.stream().filter(job -> job.mAccepted && !job.mCancelRequested).toList();
        if (open.isEmpty()) {
            return 0;
        }
        Job job = open.get(random.nextInt(open.size()));
        job.mCancelRequested = true;
        byte[] mark = {'1'};
        fleet.store()
                .commit(new StoreTransaction().put(ServingKeys.cancellation(job.mId), mark, 0));
        long delayMs = 1 + random.nextInt(1_500);
        int node = random.nextInt(mNodes.size());
        return fleet.vertx().setTimer(delayMs, t -> beginCancel(fleet, job, node, 1));
    }

    /** Removes a job that was cancelled a while ago, and submits one with its id. */
    private int replaceJob(LoopbackFleet fleet, Random random) {
        long before = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MAX_SENT_MS);
        List<Job> old =
                mJobs.stream()
                        .filter(job -> job.mCancelledAt != 0 && job.mCancelledAt < before)
                        .filter(job -> !job.mReplaced)
                        .toList();
        if (old.isEmpty()) {
            return 0;
        }
        Job replaced = old.get(random.nextInt(old.size()));
        replaced.mReplaced = true;
        remove(fleet, replaced.mId);
        int number = mJobs.size();
        Job job = new Job(replaced.mId, number, 20);
        job.mCancelRequested = true;
        mJobs.add(job);
        int node = random.nextInt(mNodes.size());
        fleet.vertx()
                .setTimer(
                        MAX_CALL_MS + random.nextInt(1_000), t -> beginAccept(fleet, job, node, 1));
        if (random.nextBoolean()) {
            long delayMs = 2 * MAX_CALL_MS + random.nextInt(2_000);
            fleet.vertx().setTimer(delayMs, t -> beginCancel(fleet, job, node + 1, 1));
        }
        return number;
    }

    private static void remove(LoopbackFleet fleet, String jobId) {
        StoreTransaction removal = new StoreTransaction();
        for (StoreEntry entry :
                fleet.store().list(ServingKeys.contentPrefix(jobId)).result().entries()) {
            removal.delete(entry.key());
        }
        removal.delete(ServingKeys.job(jobId)).delete(ServingKeys.cancellation(jobId));
        fleet.store().commit(removal);
    }

    /** Ends a node in an instant or as planned, and starts it again or another one. */
    private void replaceNode(LoopbackFleet fleet, Random random) throws Exception {
        int index = random.nextInt(mNodes.size());
        boolean planned = random.nextBoolean();
        if (planned) {
            Future<Void> stopped = fleet.beginStop(index);
            Thread.sleep(random.nextInt(600));
            stopped.onComplete(done -> {});
        }
        String name = mNodes.get(index);
        onLoop(
                fleet,
                () -> {
                    mNodes.remove(index);
                    storeOf(name).setMode(OutageStore.Mode.SILENT);
                    expireLater(fleet, name, 1_000 + random.nextInt(3_000));
                    return name;
                });
        fleet.closeNode(index);
        if (random.nextBoolean()) {
            fleet.startNode(name);
        } else {
            fleet.startNode();
        }
    }

    /** Ends all disturbances but silent watches, and cancels all jobs but a few. */
    private int calm(LoopbackFleet fleet, Random random) {
        mNodes.forEach(node -> storeOf(node).setMode(OutageStore.Mode.SOUND));
        List<Job> open =
                new ArrayList<>(mJobs.stream().filter(job -> !job.mCancelRequested).toList());
        Collections.shuffle(open, random);
        open.stream().skip(KEPT_JOBS).forEach(job -> cancel(fleet, random, job));
        return open.size();
    }

    private OutageStore storeOf(String node) {
        return Objects.requireNonNull(mStores.get(node));
    }

    /** Returns the number of items without a result of each job that nobody cancelled, by id. */
    private Map<String, Integer> unfinished(LoopbackFleet fleet) throws Exception {
        Map<String, Integer> unfinished = new TreeMap<>();
        for (Job job : mJobs) {
            if (!job.mAccepted || job.mCancelRequested) {
                continue;
            }
            List<JobResult> results = fleet.results(0, job.mId);
            long done = results.stream().filter(JobResult::completed).count();
            if (done < job.mItems) {
                unfinished.put(job.mId, (int) (job.mItems - done));
            }
        }
        return unfinished;
    }

    private static <T> T onLoop(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }
}
