package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.job.OutageStore;

/** Checks that accepted items are sent while the store is away from all hosts. */
class ItemsWithoutStoreTest {
    private static final int NODES = 3;
    private static final int TARGETS = 6;
    private static final int LONG_JOB_ITEMS = 700;

    /** Longest time without a start at a host with items and free slots, milliseconds. */
    private static final long MAX_GAP_MS = 2_500;

    private static final long OUTAGE_MS = 8_000;
    private static final long FINISH_MS = 18_000;

    private final Map<String, OutageStore> mStores = new HashMap<>();

    /** A store that is away must not stop items of jobs that nobody cancelled. */
    @Test
    void itemsAreSentWhileTheStoreIsAway() throws Exception {
        try (LoopbackFleet silent = startWithLongJobs(StandInTargets.SLOTS, "s");
                LoopbackFleet refusing = startWithLongJobs(0, "r")) {
            List<Long> silentStarts = recordStarts(silent);
            List<Long> refusingStarts = recordStarts(refusing);
            Thread.sleep(1_000);
            long lostAt = System.nanoTime();
            setModes(silent, "s", OutageStore.Mode.SILENT);
            setModes(refusing, "r", OutageStore.Mode.REFUSING);
            Thread.sleep(OUTAGE_MS);
            setModes(silent, "s", OutageStore.Mode.SOUND);
            setModes(refusing, "r", OutageStore.Mode.SOUND);
            long silentGapMs = onLoop(silent, () -> longestGapMs(silentStarts, lostAt));
            long refusingGapMs = onLoop(refusing, () -> longestGapMs(refusingStarts, lostAt));
            System.out.printf("gaps: silent_ms=%d refusing_ms=%d%n", silentGapMs, refusingGapMs);
            assertTrue(silentGapMs <= MAX_GAP_MS, "silent store: " + silentGapMs);
            assertTrue(refusingGapMs <= MAX_GAP_MS, "refusing store: " + refusingGapMs);
            awaitLongJobs(silent);
            awaitLongJobs(refusing);
        }
    }

    private LoopbackFleet startWithLongJobs(int slots, String firstPart) throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(), slots);
        fleet.setStoreOfNode(
                name -> {
                    OutageStore store =
                            new OutageStore(fleet.vertx(), fleet.store(), new Random(1));
                    mStores.put(firstPart + name, store);
                    return store;
                });
        fleet.start(NODES, TARGETS);
        onLoop(
                fleet,
                () -> {
                    fleet.targets().setEventIntervalMs(40);
                    return 0;
                });
        List<String> parts =
                IntStream.range(0, LONG_JOB_ITEMS).mapToObj(i -> firstPart + i).toList();
        for (int node = 0; node < NODES; node++) {
            assertEquals(Acceptance.ACCEPTED, fleet.accept(node, "long" + node + "-", parts));
        }
        return fleet;
    }

    private static List<Long> recordStarts(LoopbackFleet fleet) throws Exception {
        List<Long> starts = new ArrayList<>();
        return onLoop(
                fleet,
                () -> {
                    fleet.targets().setOnArrival(request -> starts.add(System.nanoTime()));
                    return starts;
                });
    }

    private void setModes(LoopbackFleet fleet, String firstPart, OutageStore.Mode mode)
            throws Exception {
        onLoop(
                fleet,
                () -> {
                    mStores.forEach(
                            (name, store) -> {
                                if (name.startsWith(firstPart)) {
                                    store.setMode(mode);
                                }
                            });
                    return 0;
                });
    }

    /**
     * Returns the longest time without a start while the store was away. There are always items and
     * free slots; the nodes get the slots one after another, in the order of their jobs.
     */
    private static long longestGapMs(List<Long> starts, long lostAt) {
        long endAt = lostAt + TimeUnit.MILLISECONDS.toNanos(OUTAGE_MS);
        long previous = lostAt;
        long longest = 0;
        for (long start : starts) {
            if (start > lostAt && start < endAt) {
                longest = Math.max(longest, start - previous);
                previous = start;
            }
        }
        longest = Math.max(longest, endAt - previous);
        return TimeUnit.NANOSECONDS.toMillis(longest);
    }

    private static void awaitLongJobs(LoopbackFleet fleet) throws Exception {
        onLoop(
                fleet,
                () -> {
                    fleet.targets().setEventIntervalMs(5);
                    return 0;
                });
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_MS);
        for (int node = 0; node < NODES; node++) {
            long done = 0;
            while (done < LONG_JOB_ITEMS && System.nanoTime() - deadline < 0) {
                Thread.sleep(100);
                done =
                        fleet.results(node, "long" + node + "-").stream()
                                .filter(JobResult::completed)
                                .count();
            }
            assertEquals(LONG_JOB_ITEMS, done);
        }
    }

    private static <T> T onLoop(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }
}
