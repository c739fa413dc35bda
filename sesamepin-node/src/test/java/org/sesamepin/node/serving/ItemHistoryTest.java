package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;

/**
 * Plays random histories of ends of targets, lost and stopped hosts, faults of the store and
 * versions that come and go, then calm, and counts the accepted items that are not done in time.
 */
class ItemHistoryTest {
    private static final int NODES = 3;
    private static final int TARGETS = 6;
    private static final int STEPS = 45;
    private static final long STEP_MS = 150;

    /** Accepted jobs below which a history shows too little. */
    private static final int MIN_JOBS = 5;

    /** Time without a renewal after which the lease of a node ends. */
    private static final long LEASE_MS = 4_000;

    /** Time after the last disturbance in which each accepted item has to be done. */
    private static final long FINISH_MS = 18_000;

    private final Map<String, Integer> mItemsByJob = new HashMap<>();
    private final Map<String, RandomFaultStore> mStores = new HashMap<>();
    private final List<String> mNodes = new ArrayList<>();
    private int mJobs;
    private int mAcceptedJobs;

    /** An accepted item must be done once the fleet is calm, whatever came before. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void eachAcceptedItemIsDoneOnceTheFleetIsCalm(long seed) throws Exception {
        Random random = new Random(seed);
        int slots = seed % 2 == 0 ? 0 : StandInTargets.SLOTS;
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(), slots)) {
            fleet.setStoreOfNode(
                    name -> {
                        RandomFaultStore store =
                                new RandomFaultStore(fleet.vertx(), fleet.store(), random);
                        mNodes.add(name);
                        mStores.put(name, store);
                        return store;
                    });
            List<String> versions = IntStream.range(0, TARGETS).mapToObj(i -> "v" + i % 2).toList();
            fleet.start(NODES, versions);
            startOnlineLoad(fleet, random);
            for (int step = 0; step < STEPS; step++) {
                disturb(fleet, random);
                Thread.sleep(STEP_MS);
            }
            calm(fleet);
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_MS);
            while (System.nanoTime() - deadline < 0 && !unfinished(fleet).isEmpty()) {
                Thread.sleep(100);
            }
            assertTrue(mAcceptedJobs >= MIN_JOBS, "accepted jobs: " + mAcceptedJobs);
            assertFalse(mItemsByJob.isEmpty(), "all jobs were cancelled");
            assertEquals(Map.of(), unfinished(fleet));
        }
    }

    private static void startOnlineLoad(LoopbackFleet fleet, Random random) throws Exception {
        onLoop(
                fleet,
                () ->
                        fleet.vertx()
                                .setPeriodic(
                                        6,
                                        t ->
                                                fleet.send(
                                                        0,
                                                        List.of("p" + random.nextInt(1 << 20)))));
    }

    private void disturb(LoopbackFleet fleet, Random random) throws Exception {
        switch (random.nextInt(13)) {
            case 0, 1, 2, 3, 4 -> submit(fleet, random);
            case 5, 6 -> endTarget(fleet, random);
            case 7 -> onLoop(fleet, () -> setBreaks(fleet, random.nextInt(5)));
            case 8 -> onLoop(fleet, () -> disturbStore(random));
            case 9 -> replaceVersion(fleet, random);
            case 10 -> cutOff(fleet, random);
            case 11 -> cancelJob(fleet, random);
            default -> replaceNode(fleet, random);
        }
    }

    private static long setBreaks(LoopbackFleet fleet, int events) {
        fleet.targets().setBreakAfterEvents(events);
        return events;
    }

    /** Submits a job to one node after another until it is accepted, as callers do. */
    private void submit(LoopbackFleet fleet, Random random) throws Exception {
        String job = "job" + ++mJobs + "-";
        int items = 1 + random.nextInt(6);
        List<String> parts = IntStream.range(0, items).mapToObj(i -> job + "p" + i).toList();
        int first = random.nextInt(mNodes.size());
        for (int i = 0; i < mNodes.size() && !mItemsByJob.containsKey(job); i++) {
            int node = (first + i) % mNodes.size();
            if (fleet.accept(node, job, parts) == Acceptance.ACCEPTED) {
                mItemsByJob.put(job, items);
                mAcceptedJobs++;
            }
        }
    }

    private static void endTarget(LoopbackFleet fleet, Random random) throws Exception {
        onLoop(
                fleet,
                () -> {
                    List<String> running = fleet.targets().running();
                    if (!running.isEmpty()) {
                        fleet.targets().end(running.get(random.nextInt(running.size())));
                    }
                    return running.size();
                });
    }

    private boolean disturbStore(Random random) {
        String node = mNodes.get(random.nextInt(mNodes.size()));
        boolean disturbed = random.nextBoolean();
        storeOf(node).setDisturbed(disturbed);
        return disturbed;
    }

    private static void replaceVersion(LoopbackFleet fleet, Random random) throws Exception {
        String version = "v" + random.nextInt(2);
        onLoop(
                fleet,
                () -> {
                    fleet.targets().stopAll(version);
                    for (int i = 0; i < TARGETS / 2; i++) {
                        fleet.targets().startOne("v" + random.nextInt(3));
                    }
                    return version;
                });
    }

    /** Cuts a node off from the store for a while, in which its lease may end. */
    private void cutOff(LoopbackFleet fleet, Random random) throws Exception {
        String name = mNodes.get(random.nextInt(mNodes.size()));
        RandomFaultStore store = storeOf(name);
        long durationMs = 500 + random.nextInt(6_000);
        onLoop(
                fleet,
                () -> {
                    store.setCut(true);
                    fleet.vertx().setTimer(durationMs, t -> store.setCut(!mNodes.contains(name)));
                    if (durationMs > LEASE_MS) {
                        expireLater(fleet, name, LEASE_MS);
                    }
                    return durationMs;
                });
    }

    private static void expireLater(LoopbackFleet fleet, String node, long delayMs) {
        long lease = fleet.store().leaseOf(ServingKeys.host(node));
        fleet.vertx().setTimer(delayMs, t -> fleet.store().expireLease(lease));
    }

    private void cancelJob(LoopbackFleet fleet, Random random) throws Exception {
        String job = "job" + (1 + random.nextInt(mJobs + 1)) + "-";
        if (mItemsByJob.remove(job) != null) {
            fleet.cancelJob(0, job);
        }
    }

    /** Ends a node in an instant or as planned, and starts it again or another one. */
    private void replaceNode(LoopbackFleet fleet, Random random) throws Exception {
        if (random.nextInt(2) > 0) {
            return;
        }
        int index = random.nextInt(mNodes.size());
        String name = mNodes.remove(index);
        boolean planned = random.nextBoolean();
        if (planned) {
            Future<Void> stopped = fleet.beginStop(index);
            Thread.sleep(random.nextInt(800));
            stopped.onComplete(done -> {});
        }
        onLoop(
                fleet,
                () -> {
                    storeOf(name).setCut(true);
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

    private void calm(LoopbackFleet fleet) throws Exception {
        onLoop(
                fleet,
                () -> {
                    mNodes.forEach(this::restoreStore);
                    fleet.targets().setBreakAfterEvents(0);
                    for (int i = fleet.targets().running().size(); i < TARGETS; i++) {
                        fleet.targets().startOne("v1");
                    }
                    return 0;
                });
    }

    private RandomFaultStore storeOf(String node) {
        return Objects.requireNonNull(mStores.get(node));
    }

    private void restoreStore(String node) {
        storeOf(node).setDisturbed(false);
        storeOf(node).setCut(false);
    }

    /** Returns the number of items without a result, by job. */
    private Map<String, Integer> unfinished(LoopbackFleet fleet) throws Exception {
        Map<String, Integer> unfinished = new HashMap<>();
        for (Map.Entry<String, Integer> job : mItemsByJob.entrySet()) {
            long done =
                    fleet.results(0, job.getKey()).stream().filter(JobResult::completed).count();
            if (done < job.getValue()) {
                unfinished.put(job.getKey(), (int) (job.getValue() - done));
            }
        }
        return unfinished;
    }

    private static <T> T onLoop(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }
}
