package org.sesamepin.node.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.stream.Finding;
import org.sesamepin.core.stream.TakeUp;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.serving.ServingState;
import org.sesamepin.node.spi.StoreTransaction;

/** Tests what hosts learn of each other's streams through the store, and what they remove there. */
class StoredStreamOriginsTest {
    private static final TargetSoftware V1 = new TargetSoftware("s", "v1");
    private static final TargetSoftware V2 = new TargetSoftware("s", "v2");
    private static final int TICKS_PER_LISTING = 30;

    /** Time for which a further version is not stated: the route's timeout and 5 s. */
    private static final long DELAY_S = 10;

    private static final ServingRoute ROUTE =
            new ServingRoute(
                    "r",
                    "h",
                    "/",
                    RouteKind.RESUMABLE_STREAM,
                    5_000,
                    300,
                    1,
                    List.of(new ServiceShare("s", 1), new ServiceShare("unused", 0)),
                    3,
                    true,
                    300,
                    0,
                    0,
                    0);

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final MemoryStore mStore = new MemoryStore();
    private final AtomicLong mNow = new AtomicLong();
    private final List<StoredStreamOrigins> mHosts = new ArrayList<>();
    private final ServingState mState = new ServingState();

    @AfterEach
    void close() {
        mVertx.close();
    }

    private <T> T onLoop(Callable<Future<T>> task) throws Exception {
        Promise<T> done = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    try {
                        task.call().onComplete(done);
                    } catch (Exception e) {
                        done.fail(e);
                    }
                });
        return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void run(Runnable action) throws Exception {
        onLoop(
                () -> {
                    action.run();
                    return Future.succeededFuture();
                });
    }

    private void startHosts(int count) throws Exception {
        run(
                () -> {
                    mState.activateIfNewer(
                            new ServingConfig(
                                    1, List.of(ROUTE), List.of(), null, ConnectionLimits.DEFAULT));
                    for (int i = 0; i < count; i++) {
                        mHosts.add(newHost("n" + mHosts.size(), mState));
                    }
                });
    }

    private StoredStreamOrigins newHost(String name, ServingState state) {
        StoredStreamOrigins host =
                new StoredStreamOrigins(
                        mVertx, mNow::get, mStore, state, name, () -> 2, key -> true);
        host.start();
        return host;
    }

    private void setTargets(String... versions) throws Exception {
        setTargets(mState, versions);
    }

    private void setTargets(ServingState state, String... versions) throws Exception {
        run(
                () -> {
                    state.setTargets(
                            List.of(versions).stream()
                                    .map(StoredStreamOriginsTest::target)
                                    .toList());
                    mHosts.forEach(StoredStreamOrigins::tick);
                });
    }

    /** Starts a host with its own view of the targets. */
    private ServingState startHostApart() throws Exception {
        ServingState state = new ServingState();
        run(
                () -> {
                    state.activateIfNewer(mState.config());
                    mHosts.add(newHost("n" + mHosts.size(), state));
                });
        return state;
    }

    private static TargetInstance target(String version) {
        return target(version, version);
    }

    private static TargetInstance target(String id, String version) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance(id, 1, "s", version, address, "a", 8, TargetState.READY, 0);
    }

    private void record(int host, String id, @Nullable String customer, TargetSoftware software)
            throws Exception {
        onLoop(() -> mHosts.get(host).record(id, customer, software, () -> false));
    }

    private String find(int host, @Nullable String id, @Nullable String customer) throws Exception {
        return find(host, new TakeUp(id, customer, ROUTE.services()));
    }

    private String find(int host, TakeUp takeUp) throws Exception {
        Finding finding = onLoop(() -> mHosts.get(host).find(takeUp));
        TargetSoftware software = finding.software();
        return finding.source().label() + (software == null ? "" : " " + software.version());
    }

    private void passSeconds(long seconds) throws Exception {
        mNow.addAndGet(TimeUnit.SECONDS.toNanos(seconds));
        run(
                () -> {
                    for (int i = 0; i < TICKS_PER_LISTING; i++) {
                        mHosts.forEach(StoredStreamOrigins::tick);
                    }
                });
    }

    private long records() {
        return mStore.countKeys(ServingKeys.streamRecordsPrefix());
    }

    private long statements() {
        return mStore.countKeys(ServingKeys.streamVersionsPrefix());
    }

    @Test
    void originOfAnotherCustomerOrServiceDoesNotCount() throws Exception {
        startHosts(2);
        setTargets("v1", "v2");
        record(0, "a", "c", V1);
        assertEquals("host v1", find(0, "a", "c"));
        assertEquals("record v1", find(1, "a", "c"));
        for (int host = 0; host < 2; host++) {
            assertEquals("no-record", find(host, "a", "d"));
            assertEquals("no-record", find(host, "a", null));
            assertEquals("no-record", find(host, null, "c"));
            TakeUp elsewhere = new TakeUp("a", "c", List.of("unused"));
            assertEquals("other-service", find(host, elsewhere));
        }
    }

    @Test
    void unknownStreamGoesOnOnlyWhereOneVersionServedAllTheTime() throws Exception {
        startHosts(1);
        for (String id : new String[] {null, "nobody's"}) {
            assertEquals("no-record", find(0, id, null), "no version is stated");
        }
        setTargets("v1");
        for (String id : new String[] {null, "nobody's"}) {
            assertEquals("only-version v1", find(0, id, null));
        }
        setTargets("v1", "v2");
        assertEquals("only-version v1", find(0, "nobody's", null), "v2's have records");
        passSeconds(DELAY_S);
        assertEquals("no-record", find(0, "nobody's", null));
        setTargets("v2");
        assertEquals("no-record", find(0, "nobody's", null), "v1 served just before");
        passSeconds(30);
        assertEquals("no-record", find(0, "nobody's", null), "v1 may be in use elsewhere");
        passSeconds(60);
        assertEquals("only-version v2", find(0, "nobody's", null));
    }

    /** A host must not trust its own view: another one may know a version that it does not. */
    @Test
    void hostThatKnowsOneVersionAsksTheStoreForOthers() throws Exception {
        startHosts(2);
        setTargets("v1");
        record(0, "a", null, V2);
        assertEquals("record v2", find(1, "a", null));
        assertEquals("only-version v1", find(1, "b", null), "v2's have records");
        passSeconds(DELAY_S);
        assertEquals("no-record", find(1, "b", null));
        assertEquals("record v2", find(1, "a", null));
    }

    @Test
    void failingStoreLeavesAStreamUnknown() throws Exception {
        startHosts(2);
        setTargets("v1", "v2");
        record(0, "a", null, V1);
        mStore.failNextLists(100);
        assertEquals("store-silent", find(1, "a", null));
        mStore.failNextLists(1);
        assertEquals("record v1", find(1, "a", null));
    }

    /**
     * Guards against streams that every other host refuses: the host that began them stands still
     * and could not record them when a second version came.
     */
    @Test
    void streamOfAHostThatStandsStillGoesOnWhileASecondVersionComes() throws Exception {
        startHosts(2);
        ServingState still = startHostApart();
        setTargets(still, "v1");
        setTargets("v1");
        record(2, "a", "c", V1);
        setTargets("v1", "v2");
        record(0, "b", "c", V2);
        assertEquals("only-version v1", find(1, "a", "c"));
        assertEquals("record v2", find(1, "b", "c"));
        assertEquals(1, statements());
        passSeconds(DELAY_S);
        assertEquals("no-record", find(1, "a", "c"), "it has ended by then");
        assertEquals("record v2", find(1, "b", "c"));
        assertEquals(2, statements());
    }

    /** Guards against a stream that is joined, as its host takes a target for its former self. */
    @Test
    void versionThatReplacesAnotherUnderItsIdIsStatedAtOnce() throws Exception {
        startHosts(2);
        setTargets("v1");
        run(
                () -> {
                    mState.setTargets(List.of(target("v1", "v1"), target("x", "v1")));
                    mHosts.forEach(StoredStreamOrigins::tick);
                    mState.setTargets(List.of(target("v1", "v1"), target("x", "v2")));
                    mHosts.forEach(StoredStreamOrigins::tick);
                });
        assertEquals("no-record", find(1, "begun-at-x", null));
    }

    /**
     * Guards against a stream at a version of which the store knows nothing when all are killed.
     */
    @Test
    void firstEventWaitsUntilTheStoreTellsItsVersion() throws Exception {
        startHosts(1);
        setTargets("v1");
        record(0, "of-v1", null, V1);
        mStore.setFaultSource(() -> MemoryStore.Fault.LOST);
        Future<Void> start = begin("a", V2, () -> false);
        Thread.sleep(400);
        assertFalse(start.isComplete());
        mStore.setFaultSource(() -> MemoryStore.Fault.NONE);
        start.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertEquals(1, statements());
        assertTrue(records() > 0);
        startHosts(1);
        assertEquals("record v2", find(1, "a", null));
    }

    /** Begins a stream at the first host; the result is for the test to await. */
    private Future<Void> begin(String id, TargetSoftware software, BooleanSupplier isOver)
            throws Exception {
        return onLoop(
                () -> Future.succeededFuture(mHosts.get(0).record(id, null, software, isOver)));
    }

    /**
     * Guards against calls that stay in memory after their end while the store takes no writes, and
     * against events that are forwarded though their stream's record was given up.
     */
    @ParameterizedTest
    @ValueSource(strings = {"v1", "v2"})
    void callThatIsOverWaitsNoLongerForTheStore(String version) throws Exception {
        startHosts(1);
        mStore.setFaultSource(() -> MemoryStore.Fault.LOST);
        if (version.equals("v2")) {
            mStore.setFaultSource(() -> MemoryStore.Fault.NONE);
            setTargets("v1");
            record(0, "of-v1", null, V1);
            mStore.setFaultSource(() -> MemoryStore.Fault.LOST);
        }
        TargetSoftware software = new TargetSoftware("s", version);
        AtomicBoolean isOver = new AtomicBoolean();
        List<Future<Void>> ended = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            ended.add(begin("ended-" + i, software, isOver::get));
        }
        ended.add(begin("goes-on", software, isOver::get));
        Future<Void> goesOn = begin("goes-on", software, () -> false);
        isOver.set(true);
        run(mHosts.get(0)::tick);
        // Those of the stream of v1 and of the call that goes on are needed.
        assertTrue(mHosts.get(0).pendingRecords() <= 2, "records of calls that are over");
        mStore.setFaultSource(() -> MemoryStore.Fault.NONE);
        goesOn.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertTrue(ended.stream().noneMatch(Future::isComplete));
        startHosts(1);
        assertTrue(find(1, "goes-on", null).endsWith(version));
    }

    @Test
    void recordsAndStatementsAreRemovedWhenTheyAreOld() throws Exception {
        startHosts(1);
        setTargets("v1", "v2");
        for (int i = 0; i < 20; i++) {
            record(0, "a" + i, null, i % 2 == 0 ? V1 : V2);
            mNow.addAndGet(TimeUnit.MILLISECONDS.toNanos(2_100));
        }
        assertTrue(records() > 5 && records() < 15, records() + " buckets");
        setTargets("v2");
        passSeconds(65);
        passSeconds(1);
        assertEquals(0, records());
        assertEquals(2, statements());
        passSeconds(20);
        passSeconds(1);
        assertEquals(1, statements());
    }

    /** Guards against a statement that a host removes because it does not see a version return. */
    @Test
    void statementWrittenAnewIsKeptByAHostThatStoodStill() throws Exception {
        startHosts(1);
        ServingState late = startHostApart();
        setTargets(late, "v1", "v2");
        setTargets("v1", "v2");
        passSeconds(30);
        setTargets(late, "v1");
        setTargets("v1");
        passSeconds(40);
        passSeconds(33);
        setTargets("v1", "v2");
        passSeconds(4);
        assertEquals(2, statements());
        assertEquals("no-record", find(1, "began-elsewhere", null));
    }

    /** What a host left that is gone for good, and foreign entries, must not stay or do harm. */
    @Test
    void entriesOfHostsThatAreGoneAreRemoved() throws Exception {
        run(
                () ->
                        mStore.commit(
                                new StoreTransaction()
                                        .put(ServingKeys.streamRecords(1, "gone", 1), "garbage")
                                        .put(ServingKeys.streamRecordsPrefix() + "x", "garbage")
                                        .put(ServingKeys.streamVersionsPrefix() + "x", "garbage")));
        startHosts(1);
        setTargets("v1");
        assertEquals("only-version v1", find(0, "a", null));
        passSeconds(1);
        assertEquals(0, records());
    }
}
