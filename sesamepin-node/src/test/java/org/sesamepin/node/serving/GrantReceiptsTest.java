package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;
import org.sesamepin.node.peer.generated.GrantReceipt;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.peer.generated.PlaceAsk;
import org.sesamepin.node.peer.generated.PlaceGrant;
import org.sesamepin.node.peer.generated.PlaceOutcome;

/**
 * Guards against messages between host and coordinator that lose the numbers of grants: requests
 * then count at their target for long after they have ended.
 */
class GrantReceiptsTest {
    private static final String SERVICE = "s";
    private static final String TARGET = "t@1";
    private static final int SLOTS = 4;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private PlacementClient mClient;
    private PlacementCoordinator mCoordinator;
    private long mSequence;

    @BeforeEach
    void start() {
        mClient = mFixture.context().placementClient();
        mCoordinator = mClient.localCoordinator();
        List<ServiceSpec> services = List.of(new ServiceSpec(SERVICE, SLOTS));
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(1, List.of(), services, null, ConnectionLimits.DEFAULT));
        mFixture.state()
                .setTargets(
                        List.of(
                                new TargetInstance(
                                        "t",
                                        1,
                                        SERVICE,
                                        "v1",
                                        new InetSocketAddress("127.0.0.1", 1),
                                        "a",
                                        SLOTS,
                                        TargetState.READY,
                                        0)));
    }

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private <T> T await(Supplier<Future<T>> task) throws Exception {
        Promise<T> done = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(done));
        return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private PlaceAnswer ask(String requestId) {
        return mCoordinator.handleRequest(
                new PlaceAsk(requestId, "host", SERVICE, 0, false, 300, 5_000, List.of()));
    }

    private HostReport report(List<InFlight> inFlight) {
        return new HostReport(
                "host", 1, 1, true, inFlight, List.of(), Map.of(), 0, List.of(), Map.of());
    }

    private void reportGrants(List<InFlight> inFlight, GrantReceipt... receipts) {
        mCoordinator.recordReport(
                report(inFlight).setSequence(++mSequence).setGrantReceipts(List.of(receipts)));
    }

    @Test
    void requestCountsUntilAReportContainsItsGrant() {
        PlaceAnswer first = ask("r1");
        assertEquals(PlaceOutcome.GRANTED, first.getOutcome());
        assertEquals(1, first.getNumber());
        reportGrants(List.of());
        assertEquals(1.0 / SLOTS, ask("r2").getOccupancy());
        reportGrants(List.of(), new GrantReceipt(SERVICE, first.getEpoch(), 1, Set.of()));
        assertEquals(1.0 / SLOTS, ask("r3").getOccupancy());
        reportGrants(
                List.of(new InFlight(TARGET, 1, 0)),
                new GrantReceipt(SERVICE, first.getEpoch(), 3, Set.of()));
        assertEquals(1.0 / SLOTS, ask("r4").getOccupancy());
        assertEquals(1, mCoordinator.unreportedGrants());
    }

    /** Guards against a coordinator that takes the numbers of another one for its own. */
    @Test
    void receiptOfAnotherCoordinatorOrServiceIsNotUsed() {
        long epoch = ask("r1").getEpoch();
        reportGrants(
                List.of(),
                new GrantReceipt(SERVICE, epoch + 1, 9, Set.of()),
                new GrantReceipt("other", epoch, 9, Set.of()));
        assertEquals(1, mCoordinator.unreportedGrants());
    }

    @Test
    void reportThatIsOlderThanTheNewestIsIgnored() {
        long epoch = ask("r1").getEpoch();
        HostReport old = report(List.of(new InFlight(TARGET, SLOTS, 0)));
        old.setSequence(1).setGrantReceipts(List.of());
        mSequence = 1;
        reportGrants(List.of(), new GrantReceipt(SERVICE, epoch, 1, Set.of()));
        mCoordinator.recordReport(old);
        assertEquals(0, ask("r2").getOccupancy());
    }

    /** Guards against grants that count for good since their host is of an older version. */
    @Test
    void reportWithoutReceiptsFreesGrantsByTheirAge() throws Exception {
        ask("r1");
        Thread.sleep(100);
        mCoordinator.recordReport(report(List.of()));
        assertEquals(0, mCoordinator.unreportedGrants());
    }

    @Test
    void hostNamesTheGrantsOfItsOwnRequests() throws Exception {
        PlacementRequest request =
                new PlacementRequest("r", SERVICE, 0, false, 300, 5_000, Set.of(), null);
        assertNotNull(await(() -> mClient.place(request)).target());
        List<GrantReceipt> receipts = mClient.handledGrants().receipts();
        assertEquals(1, receipts.size());
        assertEquals(SERVICE, receipts.get(0).getServiceName());
        assertEquals(1, receipts.get(0).getUpTo());
    }

    /** Guards against a request that runs although its grant is counted as lost. */
    @Test
    void grantThatWasGivenUpIsNotUsed() throws Exception {
        HandledGrants handled = mClient.handledGrants();
        PlaceGrant first = new PlaceGrant("", SERVICE, "t", 0).setEpoch(7).setNumber(1);
        PlaceGrant third = new PlaceGrant("", SERVICE, "t", 0).setEpoch(7).setNumber(3);
        assertTrue(handled.record(first));
        assertTrue(handled.record(third));
        Thread.sleep(1_100);
        PlaceGrant second = new PlaceGrant("", SERVICE, "t", 0).setEpoch(7).setNumber(2);
        assertFalse(handled.record(second));
        assertEquals(1, handled.givenUp());
        assertTrue(handled.record(new PlaceGrant("", SERVICE, "t", 0)));
    }
}
