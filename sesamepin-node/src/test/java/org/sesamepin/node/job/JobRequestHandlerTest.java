package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.job.MemoryStore.Fault;
import org.sesamepin.node.serving.ServingKeys;

/** Checks that jobs are accepted correctly by several hosts and when writes to the store fail. */
class JobRequestHandlerTest {
    private static final long TOKEN_LIMIT = 100;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private volatile long mWatchIntervalMs;
    private final MemoryStore mStore = new MemoryStore();
    private final List<AutoCloseable> mCloseables = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : mCloseables) {
            closeable.close();
        }
        mVertx.close();
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private JobRequestHandler newHandler(String host) throws Exception {
        return newHandler(host, config());
    }

    private JobRequestHandler newHandler(String host, ServingConfig config) throws Exception {
        return newHost(host, config).handler();
    }

    private JobHost newHost(String host, ServingConfig config) throws Exception {
        JobHost started =
                runOnEventLoop(
                        () ->
                                Future.succeededFuture(
                                        new JobHost(
                                                mVertx,
                                                mStore,
                                                host,
                                                1,
                                                config,
                                                () -> mWatchIntervalMs)));
        mCloseables.add(started);
        return started;
    }

    private static ServingConfig config() {
        return JobHost.configOf(route());
    }

    private static ServingRoute route() {
        return JobHost.batchRoute(TOKEN_LIMIT);
    }

    private Acceptance accept(JobRequestHandler handler, String jobId, long tokens)
            throws Exception {
        return runOnEventLoop(() -> handler.accept(jobId, "c", route(), JobHost.oneItem(tokens)));
    }

    private long storedJobs() throws Exception {
        return runOnEventLoop(() -> Future.succeededFuture(mStore.countKeys(ServingKeys.job(""))));
    }

    /**
     * A write that was lost or whose answer was lost must not make a host report a job as accepted
     * or as not stored when the store says otherwise.
     */
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
    void acceptanceMatchesTheStoreAfterFaultyWrites(
            Fault first, Fault second, Acceptance expected, long stored) throws Exception {
        JobRequestHandler handler = newHandler("a");
        mStore.injectFaults(first, second);
        assertEquals(expected, accept(handler, "job", 10));
        assertEquals(stored, storedJobs());
    }

    /** A job that is submitted again to another host must not be stored twice. */
    @Test
    void jobResubmittedToAnotherHostIsStoredOnce() throws Exception {
        assertEquals(Acceptance.ACCEPTED, accept(newHandler("a"), "job", 10));
        assertEquals(Acceptance.ACCEPTED, accept(newHandler("b"), "job", 10));
        assertEquals(1, storedJobs());
    }

    /**
     * A host that has just started may own a job before it has loaded a configuration; the missing
     * route must not fail the job.
     */
    @Test
    void jobDoesNotFailWhileConfigurationIsUnknown() throws Exception {
        assertEquals(Acceptance.ACCEPTED, accept(newHandler("a", ServingConfig.NONE), "job", 10));
        assertEquals(0, storedResults("job"));
    }

    /** A host's configuration may be older than the route, which must not fail the job at once. */
    @Test
    void jobDoesNotFailAtOnceWhenItsRouteIsMissing() throws Exception {
        ServingConfig other =
                new ServingConfig(1, List.of(), List.of(), null, ConnectionLimits.DEFAULT);
        assertEquals(Acceptance.ACCEPTED, accept(newHandler("a", other), "job", 10));
        assertEquals(0, storedResults("job"));
    }

    private long storedResults(String jobId) throws Exception {
        return runOnEventLoop(
                () -> Future.succeededFuture(mStore.countKeys(ServingKeys.resultsPrefix(jobId))));
    }

    @Test
    void jobOverTheTokenLimitIsRejected() throws Exception {
        JobRequestHandler handler = newHandler("a");
        assertEquals(Acceptance.ACCEPTED, accept(handler, "one", 60));
        assertEquals(Acceptance.OVER_LIMIT, accept(handler, "two", 60));
        assertEquals(Acceptance.ACCEPTED, accept(handler, "three", 40));
    }

    /**
     * In a large fleet, watches are deferred and a host receives other hosts' jobs late. When its
     * write conflicts with such a job, the host has to fetch the changes at once; otherwise it
     * could accept no job, and the limit would not count the jobs of the others.
     */
    @Test
    void hostsWithDeferredWatchesAcceptJobsUpToTheSharedLimit() throws Exception {
        mWatchIntervalMs = TimeUnit.HOURS.toMillis(1);
        JobRequestHandler a = newHandler("a");
        JobRequestHandler b = newHandler("b");
        for (int i = 0; i < TOKEN_LIMIT / 20; i++) {
            assertEquals(Acceptance.ACCEPTED, accept(a, "a" + i, 10));
            assertEquals(Acceptance.ACCEPTED, accept(b, "b" + i, 10));
        }
        assertEquals(Acceptance.OVER_LIMIT, accept(a, "more", 10));
    }

    /** Two hosts that accept at the same time must not both use the rest of a customer's limit. */
    @Test
    void simultaneousJobsOnTwoHostsStayWithinTheSharedLimit() throws Exception {
        JobRequestHandler a = newHandler("a");
        JobRequestHandler b = newHandler("b");
        List<Acceptance> acceptances =
                runOnEventLoop(
                        () ->
                                Future.all(
                                                a.accept("one", "c", route(), JobHost.oneItem(60)),
                                                b.accept("two", "c", route(), JobHost.oneItem(60)))
                                        .map(done -> done.list()));
        assertEquals(1, acceptances.stream().filter(x -> x == Acceptance.ACCEPTED).count());
        assertEquals(1, acceptances.stream().filter(x -> x == Acceptance.OVER_LIMIT).count());
        assertEquals(1, storedJobs());
    }
}
