package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.peer.generated.PlaceGrant;
import org.sesamepin.node.peer.generated.PlaceOutcome;

/** Checks the placement of continued streams with a coordinator that knows nothing of versions. */
class VersionedPlacementTest {
    private static final int SERVICES = 20;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private PeerServer mCoordinator;
    private String mService;
    private volatile boolean mRepliesOtherwise;
    private PlaceAnswer mAnswer = new PlaceAnswer(PlaceOutcome.QUEUED, "", 0, 0);

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress address = FreePorts.address();
        mCoordinator = new PeerServer(mVertx, address);
        mCoordinator.registerHandler(
                PeerRequest._Fields.PLACE_ASK, request -> Future.succeededFuture(reply()));
        await(mCoordinator::start);
        List<ServiceSpec> services =
                IntStream.range(0, SERVICES).mapToObj(i -> new ServiceSpec("s" + i, 8)).toList();
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(1, List.of(), services, null, ConnectionLimits.DEFAULT));
        mFixture.peers().register(new PeerTable.Peer("other", "127.0.0.1:" + address.getPort(), 1));
        mFixture.peers().recordContact("other", true);
        CoordinatorLookup lookup =
                new CoordinatorLookup(Ticker.SYSTEM, mFixture.state(), mFixture.peers());
        mService =
                services.stream()
                        .map(ServiceSpec::name)
                        .filter(name -> !lookup.isCoordinatedHere(name))
                        .findFirst()
                        .orElseThrow();
        setTargets("old", "new");
    }

    private PeerReply reply() {
        return mRepliesOtherwise ? PeerReply.done(new Done()) : PeerReply.placeAnswer(mAnswer);
    }

    @AfterEach
    void close() throws Exception {
        mFixture.close();
        mCoordinator.close();
        mVertx.close();
    }

    private <T> T await(Supplier<Future<T>> task) throws Exception {
        Promise<T> done = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(done));
        return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Sets one target for each version, under the version as its id. */
    private void setTargets(String... versions) {
        mFixture.state()
                .setTargets(
                        List.of(versions).stream()
                                .map(
                                        version ->
                                                new TargetInstance(
                                                        version,
                                                        1,
                                                        mService,
                                                        version,
                                                        new InetSocketAddress("127.0.0.1", 1),
                                                        "a",
                                                        8,
                                                        TargetState.READY,
                                                        0))
                                .toList());
    }

    private Future<PlacementResult> place(@Nullable String version) {
        PlacementRequest request =
                new PlacementRequest("r", mService, 1, true, 300, 5_000, Set.of(), version);
        return mFixture.context().placementClient().place(request);
    }

    /** Waits until the coordinator decides, since its first answers may be late. */
    private void awaitCoordinator() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        mFixture.peers().recordContact("other", true);
        while (!await(() -> place(null)).decider().equals("other")) {
            assertTrue(System.nanoTime() < end, "the coordinator does not answer");
            Thread.sleep(20);
            mFixture.peers().recordContact("other", true);
        }
    }

    private static String idOf(PlacementResult result) {
        TargetInstance target = result.target();
        return target == null ? "none" : target.id();
    }

    @Test
    void grantOfAnotherVersionIsNotUsed() throws Exception {
        mAnswer = new PlaceAnswer(PlaceOutcome.GRANTED, "new", 0, 0);
        awaitCoordinator();
        assertEquals("new", idOf(await(() -> place(null))));
        PlacementResult result = await(() -> place("old"));
        assertEquals("old", idOf(result));
        assertEquals("other-version", result.decider());
        assertEquals("none", idOf(await(() -> place("gone"))));
    }

    @Test
    void grantOfAnotherVersionAfterAWaitIsNotUsed() throws Exception {
        assertEquals("old", idOf(placeAndGrant("old", "new")));
        assertEquals("new", idOf(placeAndGrant("new", "new")));
    }

    /** Places a request that waits, and grants a target soon after. */
    private PlacementResult placeAndGrant(String version, String grantedId) throws Exception {
        mAnswer = new PlaceAnswer(PlaceOutcome.GRANTED, "new", 0, 0);
        awaitCoordinator();
        mAnswer = new PlaceAnswer(PlaceOutcome.QUEUED, "", 0, 0);
        return await(
                () -> {
                    mVertx.setTimer(
                            150,
                            t ->
                                    mFixture.context()
                                            .placementClient()
                                            .onGrant(new PlaceGrant("r", mService, grantedId, 0)));
                    return place(version);
                });
    }

    /** A request that waits for a version that is gone must not wait until its next repeat. */
    @Test
    void refusalEndsTheWaitAtOnce() throws Exception {
        assertEquals("none", idOf(placeAndGrant("old", "")));
    }

    /** Guards against requests that fail since the coordinator's build knows further outcomes. */
    @Test
    void outcomeOfAnotherBuildIsNoDecision() throws Exception {
        mAnswer = new PlaceAnswer(PlaceOutcome.REFUSED, "", 0, 0);
        awaitCoordinator();
        mAnswer = new PlaceAnswer().setTargetId("");
        mFixture.peers().recordContact("other", true);
        assertNotNull(await(() -> place(null)).target());
    }

    /** Guards against requests that fail since the coordinator's build replies in another way. */
    @Test
    void replyOfAnotherKindIsNoDecision() throws Exception {
        mAnswer = new PlaceAnswer(PlaceOutcome.REFUSED, "", 0, 0);
        awaitCoordinator();
        mRepliesOtherwise = true;
        mFixture.peers().recordContact("other", true);
        PlacementResult result = await(() -> place(null));
        assertNotNull(result.target());
        assertEquals("unknown-outcome", result.decider());
    }
}
