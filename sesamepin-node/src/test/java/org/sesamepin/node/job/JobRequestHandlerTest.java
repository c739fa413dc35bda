package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.serving.CallerBounds;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.job.MemoryStore.Fault;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingFixture;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.serving.StoreMirror;
import org.sesamepin.node.serving.WatchPace;

/** Acceptance of jobs through faults of the store, and by several hosts at once. */
class JobRequestHandlerTest {
    private static final long LIMIT = 100;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mLoop = mVertx.getOrCreateContext();
    private volatile long mWatchIntervalMs;
    private final MemoryStore mStore = new MemoryStore();
    private final List<AutoCloseable> mOpen = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable open : mOpen) {
            open.close();
        }
        mVertx.close();
    }

    private <T> T onLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private JobRequestHandler desk(String host) throws Exception {
        return desk(host, config());
    }

    private JobRequestHandler desk(String host, ServingConfig config) throws Exception {
        return onLoop(
                () -> {
                    ServingFixture node = new ServingFixture(mVertx);
                    node.state().adopt(config);
                    JobIndex index = new JobIndex();
                    HostLease lease =
                            new HostLease(
                                    mVertx,
                                    Ticker.SYSTEM,
                                    mStore,
                                    host,
                                    1,
                                    "127.0.0.1:1",
                                    () -> {});
                    JobStorage storage = new JobStorage(mStore);
                    JobRunner owner =
                            new JobRunner(node.context(), storage, index, lease, LIMIT * 1_000);
                    StoreMirror mirror =
                            new StoreMirror(
                                    mVertx,
                                    mStore,
                                    ServingKeys.CONTROL,
                                    index,
                                    new WatchPace(Ticker.SYSTEM, () -> mWatchIntervalMs));
                    lease.start();
                    mirror.start();
                    mOpen.addAll(List.of(mirror, lease, node));
                    return Future.succeededFuture(
                            new JobRequestHandler(
                                    node.context(),
                                    storage,
                                    index,
                                    lease,
                                    owner,
                                    node.peers(),
                                    node.peerClient(),
                                    mirror::hurry));
                });
    }

    private static ServingConfig config() {
        return new ServingConfig(1, List.of(route()), List.of(), null, CallerBounds.STANDARD);
    }

    private static ServingRoute route() {
        return new ServingRoute(
                "r",
                "h",
                "/b/",
                RouteKind.BATCH,
                0,
                0,
                0,
                List.of(new ServiceShare("s", 1)),
                3,
                false,
                0,
                0,
                0,
                LIMIT);
    }

    private static List<JobItem> items(long tokens) {
        return List.of(new JobItem("i", "/b/1", Map.of(), new byte[0], tokens));
    }

    private Acceptance accept(JobRequestHandler desk, String job, long tokens) throws Exception {
        return onLoop(() -> desk.accept(job, "c", route(), items(tokens)));
    }

    private long jobs() throws Exception {
        return onLoop(() -> Future.succeededFuture(mStore.count(ServingKeys.job(""))));
    }

    @ParameterizedTest
    @CsvSource({
        "NONE,NONE,ACCEPTED,1",
        "ANSWER_LOST,NONE,ACCEPTED,1",
        "LOST,NONE,ACCEPTED,1",
        "REFUSED,NONE,ACCEPTED,1",
        "REFUSED,REFUSED,NOT_STORED,0",
        "LOST,LOST,UNKNOWN,0",
        "LOST,REFUSED,UNKNOWN,0",
        "ANSWER_LOST,REFUSED,ACCEPTED,1"
    })
    void whatIsSaidOfAJobIsTrue(Fault first, Fault second, Acceptance expected, long stored)
            throws Exception {
        JobRequestHandler desk = desk("a");
        mStore.next(first, second);
        assertEquals(expected, accept(desk, "job", 10));
        assertEquals(stored, jobs());
    }

    @Test
    void jobSubmittedAgainAtAnotherHostIsTheSameJob() throws Exception {
        assertEquals(Acceptance.ACCEPTED, accept(desk("a"), "job", 10));
        assertEquals(Acceptance.ACCEPTED, accept(desk("b"), "job", 10));
        assertEquals(1, jobs());
    }

    /** A host that has just started may own a job before it has read any configuration. */
    @Test
    void jobIsNotGivenUpWhileNoConfigurationIsKnown() throws Exception {
        assertEquals(Acceptance.ACCEPTED, accept(desk("a", ServingConfig.NONE), "job", 10));
        assertEquals(0, results("job"));
    }

    /** The configuration at hand may be older than the route. */
    @Test
    void jobIsNotGivenUpAtOnceWhenItsRouteIsUnknown() throws Exception {
        ServingConfig other =
                new ServingConfig(1, List.of(), List.of(), null, CallerBounds.STANDARD);
        assertEquals(Acceptance.ACCEPTED, accept(desk("a", other), "job", 10));
        assertEquals(0, results("job"));
    }

    private long results(String job) throws Exception {
        return onLoop(() -> Future.succeededFuture(mStore.count(ServingKeys.results(job))));
    }

    @Test
    void jobOverTheLimitIsRefused() throws Exception {
        JobRequestHandler desk = desk("a");
        assertEquals(Acceptance.ACCEPTED, accept(desk, "one", 60));
        assertEquals(Acceptance.OVER_LIMIT, accept(desk, "two", 60));
        assertEquals(Acceptance.ACCEPTED, accept(desk, "three", 40));
    }

    /** In a large fleet a host hears of other hosts' jobs late, and has to ask when it matters. */
    @Test
    void hostsWhoseWatchesAreHeldBackAcceptNextToEachOther() throws Exception {
        mWatchIntervalMs = TimeUnit.HOURS.toMillis(1);
        JobRequestHandler a = desk("a");
        JobRequestHandler b = desk("b");
        for (int i = 0; i < LIMIT / 20; i++) {
            assertEquals(Acceptance.ACCEPTED, accept(a, "a" + i, 10));
            assertEquals(Acceptance.ACCEPTED, accept(b, "b" + i, 10));
        }
        assertEquals(Acceptance.OVER_LIMIT, accept(a, "more", 10));
    }

    @Test
    void twoHostsThatAcceptAtOnceStayWithinTheLimitTogether() throws Exception {
        JobRequestHandler a = desk("a");
        JobRequestHandler b = desk("b");
        List<Acceptance> both =
                onLoop(
                        () ->
                                Future.all(
                                                a.accept("one", "c", route(), items(60)),
                                                b.accept("two", "c", route(), items(60)))
                                        .map(done -> done.list()));
        assertEquals(1, both.stream().filter(x -> x == Acceptance.ACCEPTED).count());
        assertEquals(1, both.stream().filter(x -> x == Acceptance.OVER_LIMIT).count());
        assertEquals(1, jobs());
    }
}
