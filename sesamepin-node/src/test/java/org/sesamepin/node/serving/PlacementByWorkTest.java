package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetPaces;
import org.sesamepin.core.target.TargetState;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.EndedRequest;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.PlaceAsk;
import org.sesamepin.node.peer.generated.PlaceOutcome;
import org.sesamepin.node.peer.generated.TargetPace;

/**
 * Guards against figures of requests and targets that do not reach the coordinator, which then
 * places short requests behind long ones, and against a change for requests without figures.
 */
class PlacementByWorkTest {
    private static final String SERVICE = "s";
    private static final RequestSize SIZE = new RequestSize(100, 2_000);
    private static final TargetInstance TARGET =
            new TargetInstance(
                    "t",
                    1,
                    SERVICE,
                    "v1",
                    new InetSocketAddress("127.0.0.1", 1),
                    "a",
                    1,
                    TargetState.READY,
                    0);

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private PlacementCoordinator mCoordinator;

    @BeforeEach
    void start() {
        mCoordinator = mFixture.context().placementClient().localCoordinator();
        List<ServiceSpec> services = List.of(new ServiceSpec(SERVICE, 1));
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(1, List.of(), services, null, ConnectionLimits.DEFAULT));
        mFixture.state().setTargets(List.of(TARGET));
    }

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private static PlaceAsk ask(String requestId) {
        return new PlaceAsk(requestId, "host", SERVICE, 0, true, 300, 5_000, List.of());
    }

    private static PlaceAsk askWithTokens(String requestId) {
        return ask(requestId)
                .setRoute("route")
                .setPromptTokens(SIZE.promptTokens())
                .setMaxOutputTokens(SIZE.maxOutputTokens());
    }

    private PlaceOutcome outcomeOf(PlaceAsk ask) {
        return mCoordinator.handleRequest(ask).getOutcome();
    }

    @Test
    void requestDoesNotWaitAtATargetBehindALongOne() {
        EndedRequest ended =
                new EndedRequest(
                        "route",
                        SIZE.promptTokens(),
                        SIZE.maxOutputTokens(),
                        TARGET.incarnation(),
                        4_000);
        PlaceAsk first = askWithTokens("r1").setEnded(List.of(ended));
        assertEquals(PlaceOutcome.GRANTED, outcomeOf(first));
        assertEquals(PlaceOutcome.QUEUED, outcomeOf(ask("r2")));
    }

    @Test
    void requestsWithoutTokensArePlacedAsBefore() {
        assertEquals(PlaceOutcome.GRANTED, outcomeOf(ask("r1")));
        assertEquals(PlaceOutcome.GRANTED, outcomeOf(ask("r2")));
        assertEquals(PlaceOutcome.QUEUED, outcomeOf(ask("r3")));
    }

    /** Guards against messages that grow with the time since the last one. */
    @Test
    void endedRequestsTravelOnceAndInABoundedNumber() {
        EndedRequests ended = new EndedRequests();
        for (int i = 0; i < 50; i++) {
            ended.record(SERVICE, "route", SIZE, TARGET, 1_000_000_000L);
        }
        PlaceAsk message = ask("r1");
        ended.addTo(message);
        assertEquals(8, message.getEndedSize());
        assertEquals(1_000, message.getEnded().get(0).getElapsedMs());
        PlaceAsk next = ask("r2");
        ended.addTo(next);
        assertFalse(next.isSetEnded());
    }

    private static HostReport report(List<TargetPace> paces) {
        return new HostReport(
                        "host", 1, 1, true, List.of(), List.of(), Map.of(), 0, List.of(), Map.of())
                .setTargetLoads(paces);
    }

    @Test
    void peersLearnHowLongWorkTakesAtATarget() {
        LoadTable host = new LoadTable(Ticker.SYSTEM);
        LoadTable peer = new LoadTable(Ticker.SYSTEM);
        host.recordPace(TARGET, 3);
        assertEquals(1, host.pacesForReport().size());
        peer.recordReport(report(host.pacesForReport()));
        double factor = peer.paces().factor(TARGET.incarnation(), System.nanoTime());
        assertTrue(factor > 1.5 && factor <= 3, "factor " + factor);
        assertEquals(List.of(), peer.pacesForReport());
    }

    @Test
    void missingAndUnreadableFiguresCountAsNone() {
        LoadTable host = new LoadTable(Ticker.SYSTEM);
        host.recordPace(TARGET, TargetPaces.NONE);
        host.recordPace(TARGET, -1);
        assertEquals(List.of(), host.pacesForReport());
        assertEquals(0, host.targetsWithPace());
    }
}
