package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Checks that targets get no more requests than they tolerate while they are cold: after their
 * failure domain was evacuated, and after their registration was absent.
 */
class ColdTargetsTest {
    private static final int NODES = 3;
    private static final String EVACUATED = "b";
    private static final String ORDER = "config/evacuate/" + EVACUATED;
    private static final long COLD_MS = 4_000;
    private static final double COLD_PER_S = 2;
    private static final double MAX_ARRIVALS_PER_S = COLD_PER_S * 1.5 + 5;

    private static <T> T onLoop(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }

    private static LoopbackFleet newFleet(int slots, int staying) throws Exception {
        ServiceSpec service = new ServiceSpec(StandInTargets.SERVICE, slots, COLD_MS, COLD_PER_S);
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.IDEMPOTENT, Set.of(), service);
        onLoop(
                fleet,
                () -> {
                    fleet.targets().startOne(StandInTargets.VERSION, EVACUATED);
                    return null;
                });
        fleet.start(0, staying);
        for (int i = 0; i < NODES; i++) {
            fleet.startNode();
        }
        fleet.awaitPeers(NODES);
        fleet.awaitTargets(staying + 1);
        return fleet;
    }

    /** Sends more requests than all targets have slots for. */
    private static void startLoad(LoopbackFleet fleet) {
        fleet.vertx()
                .setPeriodic(
                        20,
                        t -> {
                            for (int node = 0; node < NODES; node++) {
                                fleet.send(node, List.of("first"));
                            }
                        });
    }

    private static void commit(LoopbackFleet fleet, StoreTransaction transaction) throws Exception {
        fleet.onLoop(() -> fleet.store().commit(transaction));
    }

    private static void assertColdThenWarm(LoopbackFleet fleet, long sinceNanos) throws Exception {
        Thread.sleep(COLD_MS);
        int whileCold =
                onLoop(fleet, () -> fleet.targets().mostArrivalsIn(EVACUATED, 1_000, sinceNanos));
        assertTrue(whileCold > 0, "the cold target is not used at all");
        assertTrue(whileCold <= MAX_ARRIVALS_PER_S, whileCold + " arrivals in a second");
        Thread.sleep(3_500);
        long warmSince = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
        int whenWarm =
                onLoop(fleet, () -> fleet.targets().mostArrivalsIn(EVACUATED, 1_000, warmSince));
        assertTrue(whenWarm > MAX_ARRIVALS_PER_S, "only " + whenWarm + " when warm");
    }

    /** Guards against the load of all hosts on a domain whose order was taken back. */
    @ParameterizedTest
    @ValueSource(ints = {StandInTargets.SLOTS, 0})
    void targetsAreColdAfterAnEvacuation(int slots) throws Exception {
        try (LoopbackFleet fleet = newFleet(slots, 1)) {
            onLoop(
                    fleet,
                    () -> {
                        startLoad(fleet);
                        return null;
                    });
            Thread.sleep(1_000);
            commit(fleet, new StoreTransaction().put(ORDER, ""));
            Thread.sleep(1_500);
            long liftedAt = System.nanoTime();
            commit(fleet, new StoreTransaction().delete(ORDER));
            assertColdThenWarm(fleet, liftedAt);
        }
    }

    /** Guards against the load of all hosts on a target whose registration was away for a while. */
    @Test
    void aTargetThatRegistersAnewIsCold() throws Exception {
        try (LoopbackFleet fleet = newFleet(StandInTargets.SLOTS, 1)) {
            onLoop(
                    fleet,
                    () -> {
                        startLoad(fleet);
                        return null;
                    });
            String entry = onLoop(fleet, () -> fleet.store().textOf("targets/t1"));
            commit(fleet, new StoreTransaction().delete("targets/t1"));
            Thread.sleep(1_000);
            long backAt = System.nanoTime();
            commit(fleet, new StoreTransaction().put("targets/t1", entry));
            assertColdThenWarm(fleet, backAt);
        }
    }

    /**
     * Guards against a host that starts after the order was taken back and takes targets as warm.
     */
    @Test
    void aHostThatStartsLaterLearnsFromItsPeersWhichTargetsAreCold() throws Exception {
        try (LoopbackFleet fleet = newFleet(0, 1)) {
            commit(fleet, new StoreTransaction().put(ORDER, ""));
            Thread.sleep(500);
            commit(fleet, new StoreTransaction().delete(ORDER));
            Thread.sleep(500);
            fleet.startNode();
            fleet.awaitPeers(NODES + 1);
            Thread.sleep(1_000);
            ServingContext context = fleet.node(NODES).context();
            assertTrue(onLoop(fleet, () -> context.loads().limits().isCold("t1@1")));
        }
    }
}
