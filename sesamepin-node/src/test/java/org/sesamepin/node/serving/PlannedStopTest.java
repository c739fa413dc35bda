package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Future;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.http.ProblemType;

/** Tests that a planned stop cuts no request that was passed on to a target. */
class PlannedStopTest {
    private static final long RUN_MS = 2_500;
    private static final List<String> NO_PARTS = List.of();

    private static LoopbackFleet newFleet() throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.AT_MOST_ONCE, Set.of());
        fleet.start(1, 1);
        fleet.onLoop(
                () -> {
                    fleet.targets().setFirstEventMs(RUN_MS);
                    return Future.succeededFuture();
                });
        return fleet;
    }

    @Test
    void requestThatArrivesLateInAStopIsRefusedInsteadOfCut() throws Exception {
        try (LoopbackFleet fleet = newFleet()) {
            Future<Integer> early = fleet.onLoop(() -> start(fleet));
            Future<Void> stopped = fleet.beginStop(0);
            Thread.sleep(2_000);
            Future<Integer> taken = fleet.onLoop(() -> start(fleet));
            Thread.sleep(1_500);
            assertEquals(
                    ProblemType.NOT_READY.label(),
                    fleet.onLoop(() -> fleet.sendForProblem(0, NO_PARTS)));
            int arrivals =
                    fleet.onLoop(() -> Future.succeededFuture(fleet.targets().arrivals("t1")));
            assertEquals(2, arrivals, "a refused request reached a target");
            assertFalse(stopped.isComplete(), "stopped while a request ran");
            assertEquals(200, fleet.onLoop(() -> early));
            assertEquals(200, fleet.onLoop(() -> taken));
            fleet.onLoop(() -> stopped);
        }
    }

    private static Future<Future<Integer>> start(LoopbackFleet fleet) {
        return Future.succeededFuture(fleet.send(0, NO_PARTS));
    }
}
