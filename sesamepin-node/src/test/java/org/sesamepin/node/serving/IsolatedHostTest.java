package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.serving.TargetLink.Cut;

/** Checks what callers and targets see of hosts that are cut off from all targets. */
class IsolatedHostTest {
    private static final int TARGETS = 4;
    private static final int REQUESTS = 40;
    private static final long INTERVAL_MS = 25;
    private static final long DETECTION_MS = 1_000;
    private static final long PEER_END_MS = 60;
    private static final long RECOVERY_MS = 1_500;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int OK = 200;

    private final TargetLinks mLinks = new TargetLinks();

    @AfterEach
    void closeLinks() throws Exception {
        mLinks.close();
    }

    private LoopbackFleet start(RouteKind kind, int nodes) throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(kind, Set.of());
        fleet.setPaths(mLinks::addressFor);
        fleet.start(nodes, TARGETS);
        return fleet;
    }

    /** Sends requests to the first node at an even rate and returns their statuses. */
    private static List<Integer> sendAll(LoopbackFleet fleet, int requests) throws Exception {
        return fleet.onLoop(
                () -> {
                    List<Future<Integer>> statuses = new ArrayList<>();
                    for (int i = 0; i < requests; i++) {
                        Promise<Integer> status = Promise.promise();
                        statuses.add(status.future());
                        fleet.vertx()
                                .setTimer(
                                        1 + i * INTERVAL_MS,
                                        t -> fleet.send(0, List.of()).onComplete(status));
                    }
                    return Future.all(statuses).map(all -> all.<Integer>list());
                });
    }

    private static long served(List<Integer> statuses) {
        return statuses.stream().filter(status -> status == OK).count();
    }

    private static int arrivals(LoopbackFleet fleet) {
        return fleet.targets().running().stream().mapToInt(fleet.targets()::arrivals).sum();
    }

    @ParameterizedTest
    @CsvSource({
        "HANG, RESUMABLE_STREAM",
        "RESET, RESUMABLE_STREAM",
        "REFUSE_NEW, RESUMABLE_STREAM",
        "HANG, STREAM",
        "RESET, STREAM",
        "REFUSE_NEW, STREAM"
    })
    void cutOffHostServesItsCallersThroughPeers(Cut cut, RouteKind kind) throws Exception {
        try (LoopbackFleet fleet = start(kind, 3)) {
            assertEquals(REQUESTS, served(sendAll(fleet, REQUESTS)));
            mLinks.cut("n1", cut);
            sendAll(fleet, (int) (DETECTION_MS / INTERVAL_MS));

            List<Integer> statuses = sendAll(fleet, REQUESTS);

            assertEquals(REQUESTS, served(statuses), "served of " + REQUESTS + ": " + statuses);
        }
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void requestThatMayNotBeRepeatedRunsOnceAtMost(Cut cut) throws Exception {
        try (LoopbackFleet fleet = start(RouteKind.STREAM, 3)) {
            sendAll(fleet, REQUESTS);
            int before = arrivals(fleet);
            mLinks.cut("n1", cut);

            int requests = 2 * REQUESTS;
            sendAll(fleet, requests);

            int arrived = arrivals(fleet) - before;
            assertTrue(arrived <= requests, arrived + " runs of " + requests + " requests");
        }
    }

    @Test
    void mostHostsCutOffAreServedByTheOthers() throws Exception {
        try (LoopbackFleet fleet = start(RouteKind.STREAM, 4)) {
            sendAll(fleet, REQUESTS);
            mLinks.cut("n1", Cut.HANG);
            mLinks.cut("n2", Cut.HANG);
            mLinks.cut("n3", Cut.HANG);
            sendAll(fleet, (int) (2 * DETECTION_MS / INTERVAL_MS));

            assertEquals(REQUESTS, served(sendAll(fleet, REQUESTS)));
        }
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void hostConnectsDirectlyAgainSoonAfterTheCut(Cut cut) throws Exception {
        try (LoopbackFleet fleet = start(RouteKind.STREAM, 2)) {
            sendAll(fleet, REQUESTS);
            mLinks.cut("n1", cut);
            sendAll(fleet, REQUESTS);
            mLinks.restore("n1");
            Thread.sleep(RECOVERY_MS);
            mLinks.cut("n2", cut);

            assertEquals(REQUESTS, served(sendAll(fleet, REQUESTS)));
        }
    }

    @Test
    void streamsGoOnWhenTheirPeerEnds() throws Exception {
        try (LoopbackFleet fleet = start(RouteKind.RESUMABLE_STREAM, 3)) {
            sendAll(fleet, REQUESTS);
            mLinks.cut("n1", Cut.HANG);
            sendAll(fleet, (int) (DETECTION_MS / INTERVAL_MS));

            List<Future<Integer>> running = new ArrayList<>();
            fleet.onLoop(
                    () -> {
                        for (int i = 0; i < REQUESTS; i++) {
                            running.add(fleet.send(0, List.of()));
                        }
                        return Future.succeededFuture();
                    });
            Thread.sleep(PEER_END_MS);
            fleet.closeNode(1);

            List<Integer> statuses =
                    fleet.onLoop(() -> Future.all(running).map(all -> all.<Integer>list()));
            assertEquals(REQUESTS, served(statuses), statuses.toString());
        }
    }

    @Test
    void cutPutsNoPromptInQuarantine() throws Exception {
        try (LoopbackFleet fleet = start(RouteKind.RESUMABLE_STREAM, 3)) {
            sendAll(fleet, REQUESTS);
            fleet.onLoop(
                    () -> {
                        List<Future<Integer>> running = new ArrayList<>();
                        for (int i = 0; i < REQUESTS; i++) {
                            running.add(fleet.send(0, List.of("p")));
                        }
                        fleet.vertx().setTimer(60, t -> cutUnchecked("n1", Cut.RESET));
                        return Future.join(running).otherwiseEmpty();
                    });
            sendAll(fleet, REQUESTS);

            assertEquals(0, fleet.quarantines(0));
            assertEquals(0, fleet.quarantines(1));
        }
    }

    private void cutUnchecked(String host, Cut cut) {
        try {
            mLinks.cut(host, cut);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void hostThatNoPeerHelpsRejectsSoon() throws Exception {
        try (LoopbackFleet fleet = start(RouteKind.STREAM, 2)) {
            sendAll(fleet, REQUESTS);
            mLinks.cut("n1", Cut.HANG);
            mLinks.cut("n2", Cut.HANG);
            sendAll(fleet, (int) (2 * DETECTION_MS / INTERVAL_MS));

            long sentAt = System.nanoTime();
            int status = fleet.onLoop(() -> fleet.send(0, List.of()));
            long ms = (System.nanoTime() - sentAt) / NANOS_PER_MS;

            assertEquals(503, status);
            assertTrue(ms < 1_000, "rejected after " + ms + " ms");
        }
    }
}
