package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Checks that targets in a failure domain that the operator evacuates get no requests from any host
 * until the order is taken back, while what runs there goes on.
 */
class EvacuatedDomainTest {
    private static final int NODES = 3;
    private static final String EVACUATED = "b";
    private static final String ORDER = "config/evacuate/" + EVACUATED;
    private static final long IN_FORCE_MS = 1_000;
    private static final long OBSERVED_MS = 2_000;

    private final List<FaultyStore> mStores = new ArrayList<>();

    private static <T> T onLoop(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }

    /** Starts nodes, and targets in the domain that stays and in the one that is evacuated. */
    private LoopbackFleet newFleet(int slots, int staying, int evacuated) throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.RESUMABLE_STREAM, Set.of(), slots);
        fleet.setStoreOfNode(
                node -> {
                    FaultyStore store = new FaultyStore(fleet.vertx(), fleet.store(), "config/");
                    mStores.add(store);
                    return store;
                });
        onLoop(
                fleet,
                () -> {
                    for (int i = 0; i < evacuated; i++) {
                        fleet.targets().startOne(StandInTargets.VERSION, EVACUATED);
                    }
                    return null;
                });
        fleet.start(0, staying);
        for (int i = 0; i < NODES; i++) {
            fleet.startNode();
        }
        fleet.awaitPeers(NODES);
        fleet.awaitTargets(staying + evacuated);
        return fleet;
    }

    private static void order(LoopbackFleet fleet) throws Exception {
        fleet.onLoop(() -> fleet.store().commit(new StoreTransaction().put(ORDER, "")));
    }

    private static void takeBack(LoopbackFleet fleet) throws Exception {
        fleet.onLoop(() -> fleet.store().commit(new StoreTransaction().delete(ORDER)));
    }

    private static boolean isInForce(LoopbackFleet fleet, int node) throws Exception {
        ServingState state = fleet.node(node).context().state();
        return onLoop(fleet, () -> state.evacuation().domains().contains(EVACUATED));
    }

    private static void awaitInForce(LoopbackFleet fleet, int nodes, boolean expected, long ms)
            throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        for (int node = 0; node < nodes; node++) {
            while (isInForce(fleet, node) != expected) {
                assertTrue(System.nanoTime() < deadline, "late at node " + node);
                Thread.sleep(10);
            }
        }
    }

    private static AtomicInteger startLoad(LoopbackFleet fleet, int nodes) {
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        fleet.vertx()
                .setPeriodic(
                        10,
                        t ->
                                fleet.send(sent.getAndIncrement() % nodes, List.of("first"))
                                        .onSuccess(
                                                status -> failed.addAndGet(status == 200 ? 0 : 1)));
        return failed;
    }

    private static void submitJobs(LoopbackFleet fleet, String name) throws Exception {
        for (int node = 0; node < NODES; node++) {
            fleet.submitJob(node, name + node, List.of("first", "first", "first", "first"));
        }
    }

    private static long retryAfterMs(LoopbackFleet fleet, int node) throws Exception {
        PlacementRequest request =
                new PlacementRequest(
                        "p" + node, StandInTargets.SERVICE, 0, false, 300, 5_000, Set.of(), null);
        PlacementClient client = fleet.node(node).context().placementClient();
        return fleet.onLoop(() -> client.place(request)).retryAfterMs();
    }

    private static int arrivals(LoopbackFleet fleet) throws Exception {
        return onLoop(fleet, () -> fleet.targets().arrivalsIn(EVACUATED));
    }

    private static void assertNothingArrives(LoopbackFleet fleet) throws Exception {
        int before = arrivals(fleet);
        submitJobs(fleet, "later");
        Thread.sleep(OBSERVED_MS);
        assertEquals(before, arrivals(fleet), "arrivals in the evacuated domain");
    }

    /**
     * Guards against requests and items in the evacuated domain, with and without a coordinator,
     * and against requests that fail since half of the targets are not used.
     */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void nothingArrivesFromTheOrderUntilItIsTakenBack(int slots) throws Exception {
        try (LoopbackFleet fleet = newFleet(slots, 3, 3)) {
            AtomicInteger failed = onLoop(fleet, () -> startLoad(fleet, NODES));
            submitJobs(fleet, "job");
            Thread.sleep(1_000);
            assertTrue(arrivals(fleet) > 0, "no load in the domain");
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            assertNothingArrives(fleet);
            int lastBefore = arrivals(fleet);
            takeBack(fleet);
            awaitInForce(fleet, NODES, false, IN_FORCE_MS);
            Thread.sleep(1_000);
            assertTrue(arrivals(fleet) > lastBefore, "the domain is not used again");
            assertEquals(0, failed.get(), "requests that failed");
        }
    }

    /** Guards against a host that uses the domain until its first watch reports something. */
    @Test
    void aHostThatStartsInTheMiddleKeepsTheOrder() throws Exception {
        try (LoopbackFleet fleet = newFleet(0, 2, 2)) {
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            fleet.startNode();
            fleet.awaitPeers(NODES + 1);
            awaitInForce(fleet, NODES + 1, true, IN_FORCE_MS);
            onLoop(fleet, () -> startLoad(fleet, NODES + 1));
            assertNothingArrives(fleet);
        }
    }

    /**
     * Guards against hosts that the store turns away, and against orders that end with the store.
     */
    @Test
    void hostsWithoutTheStoreLearnTheOrderFromAPeerAndKeepIt() throws Exception {
        try (LoopbackFleet fleet = newFleet(0, 2, 2)) {
            for (FaultyStore store : mStores.subList(0, NODES - 1)) {
                store.silenceWatches();
                store.setListDelayMs(TimeUnit.HOURS.toMillis(1));
            }
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            FaultyStore last = mStores.get(NODES - 1);
            last.silenceWatches();
            last.setListDelayMs(TimeUnit.HOURS.toMillis(1));
            onLoop(fleet, () -> startLoad(fleet, NODES));
            assertNothingArrives(fleet);
        }
    }

    /** A deletion leaves no revision in a listing, by which a silent watch is found otherwise. */
    @Test
    void anOrderTakenBackIsFoundAlthoughAllWatchesAreSilent() throws Exception {
        try (LoopbackFleet fleet = newFleet(0, 1, 1)) {
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            mStores.forEach(FaultyStore::silenceWatches);
            takeBack(fleet);
            awaitInForce(fleet, NODES, false, 4_000);
        }
    }

    /** Guards against requests that wait for a target until their deadline. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void aServiceThatIsOnlyThereIsRefusedAtOnce(int slots) throws Exception {
        try (LoopbackFleet fleet = newFleet(slots, 0, 2)) {
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            for (int node = 0; node < NODES; node++) {
                int asked = node;
                long startedAt = System.nanoTime();
                String problem = fleet.onLoop(() -> fleet.sendForProblem(asked, List.of("first")));
                long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
                assertEquals("no-target", problem);
                assertTrue(ms < 1_000, "refused after " + ms + " ms");
                assertTrue(retryAfterMs(fleet, node) > 0, "no time for a retry");
            }
            assertNothingArrives(fleet);
            takeBack(fleet);
            awaitInForce(fleet, NODES, false, IN_FORCE_MS);
            assertEquals(200, fleet.onLoop(() -> fleet.send(0, List.of("first"))));
        }
    }

    /** Guards against an order that cuts the streams that run in the domain. */
    @Test
    void whatRunsThereIsNotCut() throws Exception {
        try (LoopbackFleet fleet = newFleet(0, 0, 2)) {
            onLoop(
                    fleet,
                    () -> {
                        fleet.targets().setEventIntervalMs(250);
                        return null;
                    });
            List<Future<Integer>> running =
                    onLoop(
                            fleet,
                            () ->
                                    List.of(
                                            fleet.send(0, List.of("first")),
                                            fleet.send(1, List.of("first"))));
            Thread.sleep(500);
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            for (Future<Integer> stream : running) {
                assertEquals(200, fleet.onLoop(() -> stream));
            }
            assertEquals(2, arrivals(fleet), "attempts");
        }
    }

    /**
     * Guards against an order that counts only for the targets that are registered when it comes.
     */
    @Test
    void targetsThatRegisterLaterInTheDomainGetNothing() throws Exception {
        try (LoopbackFleet fleet = newFleet(0, 2, 0)) {
            order(fleet);
            awaitInForce(fleet, NODES, true, IN_FORCE_MS);
            onLoop(
                    fleet,
                    () -> {
                        fleet.targets().startOne(StandInTargets.VERSION, EVACUATED);
                        startLoad(fleet, NODES);
                        return null;
                    });
            assertNothingArrives(fleet);
        }
    }
}
