package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.spi.StoreTransaction;

/** Tests that each change of the configuration is in force at every node within the bound. */
class ConfigInForceTest {
    private static final long APPLY_MS = 2_000;
    private static final String CONFIG = "config/";
    private static final String TARGETS = "targets/";

    private final List<FaultyStore> mStores = new ArrayList<>();

    private LoopbackFleet newFleet(int nodes, String faultyPrefix) throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.IDEMPOTENT, Set.of());
        fleet.setStoreOfNode(
                node -> {
                    FaultyStore store = new FaultyStore(fleet.vertx(), fleet.store(), faultyPrefix);
                    mStores.add(store);
                    return store;
                });
        fleet.start(nodes, 1);
        return fleet;
    }

    private static void assertInForceInTime(LoopbackFleet fleet, int nodes, long version)
            throws Exception {
        fleet.writeConfig(version);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(APPLY_MS);
        for (int node = 0; node < nodes; node++) {
            while (fleet.configVersion(node) < version && System.nanoTime() - deadline < 0) {
                Thread.sleep(10);
            }
            assertEquals(version, fleet.configVersion(node), "at node " + node);
        }
    }

    @Test
    void aListingThatTakesLongerThanPeersNeedToReportTheChangeIsNotDiscarded() throws Exception {
        try (LoopbackFleet fleet = newFleet(4, CONFIG)) {
            mStores.get(0).silenceWatches();
            mStores.get(0).setListDelayMs(900);
            assertInForceInTime(fleet, 4, 2);
            assertInForceInTime(fleet, 4, 3);
        }
    }

    @Test
    void aNodeToWhichTheStoreIsSilentLearnsAChangeFromItsPeers() throws Exception {
        try (LoopbackFleet fleet = newFleet(4, CONFIG)) {
            for (FaultyStore store : mStores.subList(0, 3)) {
                store.silenceWatches();
                store.setListDelayMs(TimeUnit.HOURS.toMillis(1));
            }
            assertInForceInTime(fleet, 4, 2);
            assertInForceInTime(fleet, 4, 3);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void aChangeThatNoWatchReportsIsFoundAllTheSame(int nodes) throws Exception {
        try (LoopbackFleet fleet = newFleet(nodes, CONFIG)) {
            mStores.forEach(FaultyStore::silenceWatches);
            assertInForceInTime(fleet, nodes, 2);
            assertInForceInTime(fleet, nodes, 3);
        }
    }

    @Test
    void aNodeThatStartedAfterADeletionIsNotBehindThoseThatSawIt() throws Exception {
        try (LoopbackFleet fleet = newFleet(1, TARGETS)) {
            fleet.onLoop(() -> fleet.store().commit(new StoreTransaction().put("targets/x", "")));
            fleet.onLoop(() -> fleet.store().commit(new StoreTransaction().delete("targets/x")));
            fleet.startNode();
            fleet.awaitPeers(2);
            int before = fleet.onLoop(() -> Future.succeededFuture(mStores.get(1).lists()));
            Thread.sleep(3_000);
            int lists = fleet.onLoop(() -> Future.succeededFuture(mStores.get(1).lists()));
            assertEquals(before, lists, "listings without a change");
        }
    }
}
