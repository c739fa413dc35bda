package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/**
 * Checks that a target which says in its answers that it leaves gets no further work from the hosts
 * that passed such an answer on, although its registration still says that it is ready.
 */
class LeavingTargetTest {
    private static final int NODES = 3;
    private static final int TARGETS = 4;

    /** Time after which a host that passed on such an answer may send nothing more there. */
    private static final long DRAIN_MS = 2_000;

    private static final long KNOWN_SECONDS = 10;

    private static TargetInstance target(String id, long startedAtMs) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance(
                id, startedAtMs, "s", "v1", address, "a", 8, TargetState.READY, 0);
    }

    @Test
    void onlyTheIncarnationThatLeavesIsLeftOut() {
        ServingState state = new ServingState();
        state.setTargets(List.of(target("t", 1), target("u", 1)));
        assertTrue(state.recordLeaving(target("t", 1)));
        assertFalse(state.recordLeaving(target("t", 1)));
        assertFalse(state.targets().isReady(target("t", 1)));
        assertEquals(List.of(target("u", 1)), state.targets().readyTargets("s"));
        assertEquals(Set.of("t@1"), state.leavingTargets());
        state.setTargets(List.of(target("t", 2), target("u", 1)));
        assertTrue(state.targets().isReady(target("t", 2)));
        assertEquals(Set.of(), state.leavingTargets());
    }

    /** An entry that lapsed in an outage and is there again must not bring the target back. */
    @Test
    void targetThatRegistersAgainIsStillLeftOut() {
        ServingState state = new ServingState();
        state.setTargets(List.of(target("t", 1)));
        state.recordLeaving(target("t", 1));
        state.setTargets(List.of());
        state.setTargets(List.of(target("t", 1)));
        assertFalse(state.targets().isReady(target("t", 1)));
    }

    private static <T> T onLoop(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }

    /** Sends requests through all nodes; returns the number of them that were not answered. */
    private static AtomicInteger startLoad(LoopbackFleet fleet) {
        Vertx vertx = fleet.vertx();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        vertx.setPeriodic(
                10,
                t ->
                        fleet.send(sent.getAndIncrement() % NODES, List.of("first"))
                                .onSuccess(status -> failed.addAndGet(status == 200 ? 0 : 1))
                                .onFailure(e -> failed.incrementAndGet()));
        return failed;
    }

    /**
     * Waits until each node has got an answer that says that its target leaves. Without a
     * coordinator each node chooses targets by what it knows itself.
     */
    private static void awaitKnownToLeave(LoopbackFleet fleet) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(KNOWN_SECONDS);
        for (int node = 0; node < NODES; node++) {
            ServingState state = fleet.node(node).context().state();
            while (onLoop(fleet, () -> state.leavingTargets().isEmpty())) {
                assertTrue(System.nanoTime() < end, "a node sends nothing to the target");
                Thread.sleep(20);
            }
        }
    }

    /** Guards against work for a target that leaves: from requests, streams, items and grants. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void targetGetsNothingAfterItsAnswersSaidThatItLeaves(int slots) throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.RESUMABLE_STREAM, Set.of(), slots)) {
            fleet.start(NODES, TARGETS);
            AtomicInteger failed = onLoop(fleet, () -> startLoad(fleet));
            for (int node = 0; node < NODES; node++) {
                fleet.submitJob(node, "job" + node, List.of("first", "first", "first", "first"));
            }
            Thread.sleep(1_000);
            String leaving = onLoop(fleet, () -> fleet.targets().running().get(0));
            assertTrue(onLoop(fleet, () -> fleet.targets().arrivals(leaving)) > 0);
            onLoop(
                    fleet,
                    () -> {
                        fleet.targets().leave(leaving);
                        return null;
                    });
            if (slots == 0) {
                awaitKnownToLeave(fleet);
            }
            Thread.sleep(DRAIN_MS);
            int before = onLoop(fleet, () -> fleet.targets().arrivals(leaving));
            int failedBefore = failed.get();
            for (int node = 0; node < NODES; node++) {
                fleet.submitJob(node, "later" + node, List.of("first", "first", "first", "first"));
            }
            Thread.sleep(2_000);
            assertEquals(before, onLoop(fleet, () -> fleet.targets().arrivals(leaving)));
            assertEquals(failedBefore, failed.get(), "requests that failed meanwhile");
        }
    }
}
