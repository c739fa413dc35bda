package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.RouteKind;

/** Checks that hosts blame targets that end in numbers, and not their own network path. */
class EndingTargetsTest {
    private static final int NODES = 3;
    private static final int TARGETS = 8;
    private static final int REQUESTS = 210;
    private static final long INTERVAL_MS = 5;
    private static final long EVENT_INTERVAL_MS = 40;
    private static final long END_AFTER_MS = 500;
    private static final int OK = 200;
    private static final Pattern ISOLATIONS =
            Pattern.compile("^sesamepin_isolations(?:_total)? (\\S+)$", Pattern.MULTILINE);

    private static LoopbackFleet start() throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(RouteKind.RESUMABLE_STREAM, Set.of());
        fleet.start(NODES, TARGETS);
        return fleet;
    }

    /** Sends requests to all nodes in turn at an even rate and returns their statuses. */
    private static Future<List<Integer>> sendAll(LoopbackFleet fleet) {
        List<Future<Integer>> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Promise<Integer> status = Promise.promise();
            statuses.add(status.future());
            int node = i % NODES;
            fleet.vertx()
                    .setTimer(
                            1 + i * INTERVAL_MS,
                            t -> fleet.send(node, List.of("p" + node)).onComplete(status));
        }
        return Future.all(statuses).map(all -> all.<Integer>list());
    }

    /** Sends requests while targets end, and returns the statuses. */
    private static List<Integer> sendWhileTargetsEnd(LoopbackFleet fleet, int ending)
            throws Exception {
        return fleet.onLoop(
                () -> {
                    List<String> targets = fleet.targets().running().subList(0, ending);
                    fleet.vertx()
                            .setTimer(END_AFTER_MS, t -> targets.forEach(fleet.targets()::end));
                    return sendAll(fleet);
                });
    }

    private static double isolations(LoopbackFleet fleet, int node) throws Exception {
        String metrics =
                fleet.onLoop(
                        () ->
                                Future.succeededFuture(
                                        new String(
                                                fleet.node(node).context().metrics().text(),
                                                StandardCharsets.UTF_8)));
        Matcher matcher = ISOLATIONS.matcher(metrics);
        assertTrue(matcher.find(), metrics);
        return Double.parseDouble(matcher.group(1));
    }

    private static void assertNoHostIsIsolated(LoopbackFleet fleet) throws Exception {
        for (int node = 0; node < NODES; node++) {
            assertEquals(0, isolations(fleet, node), "isolations of node " + node);
        }
    }

    @Test
    void targetsThatAllEndIsolateNoHost() throws Exception {
        try (LoopbackFleet fleet = start()) {
            sendWhileTargetsEnd(fleet, TARGETS);

            assertNoHostIsIsolated(fleet);
        }
    }

    @Test
    @Tag("known-red")
    void mostTargetsEndAndEachEndCounts() throws Exception {
        int ending = TARGETS - 1;
        try (LoopbackFleet fleet = start()) {
            fleet.onLoop(
                    () -> {
                        fleet.targets().setEventIntervalMs(EVENT_INTERVAL_MS);
                        return Future.succeededFuture();
                    });

            List<Integer> statuses = sendWhileTargetsEnd(fleet, ending);

            assertNoHostIsIsolated(fleet);
            long ends = 0;
            for (int node = 0; node < NODES; node++) {
                int ofNode = node;
                ends +=
                        fleet.onLoop(
                                () ->
                                        Future.succeededFuture(
                                                fleet.node(ofNode)
                                                        .context()
                                                        .promptGuard()
                                                        .endCount()));
            }
            assertTrue(ends >= ending, ends + " of " + ending + " ends were confirmed");
            assertTrue(statuses.contains(OK), statuses.toString());
        }
    }
}
