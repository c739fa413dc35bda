package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.serving.RouteKind;

/** Plays a load beyond the requests per second that the targets name in their answers. */
class TargetRequestLimitTest {
    private static final int NODES = 3;
    private static final int TARGETS = 2;
    private static final long LEARNING_WINDOW_MS = 1_000;
    private static final long WINDOW_MS = 4_000;
    private static final double MAX_OVERAGE = 1.5;
    private static final int SLACK = 5;

    @ParameterizedTest
    @CsvSource({"STREAM,8,3", "IDEMPOTENT,8,0.3", "STREAM,0,2", "IDEMPOTENT,0,0"})
    void targetsGetNoMoreRequestsThanTheyNamed(RouteKind kind, int slots, double limit)
            throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(kind, Set.of(), slots)) {
            fleet.start(NODES, TARGETS);
            fleet.onLoop(
                    () -> {
                        fleet.targets().setRequestLimit(Double.toString(limit));
                        fleet.vertx().setPeriodic(20, t -> sendToAll(fleet));
                        return Future.succeededFuture();
                    });
            Thread.sleep(LEARNING_WINDOW_MS);
            long learnedAt = System.nanoTime();
            Thread.sleep(WINDOW_MS + 1_000);
            int most =
                    fleet.onLoop(
                            () ->
                                    Future.succeededFuture(
                                            fleet.targets().mostArrivals(WINDOW_MS, learnedAt)));
            double allowed = MAX_OVERAGE * limit * WINDOW_MS / 1_000 + SLACK;
            assertTrue(most <= allowed, most + " arrived, allowed " + allowed);
            assertTrue(limit < 1 || most >= limit * WINDOW_MS / 1_000 / 2, most + " arrived");
        }
    }

    private static void sendToAll(LoopbackFleet fleet) {
        for (int node = 0; node < NODES; node++) {
            fleet.send(node, List.of("first"));
        }
    }
}
