package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;

/** Checks that an owner stops to run a job that was removed before it knew of the cancellation. */
class RemovedJobTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);

    /** Time after a cancellation from which on nobody may run the job. */
    private static final long MAX_RUN_MS = 2_500;

    /** Interval of deferred watches that still report a change in time. */
    private static final long WATCH_INTERVAL_MS = 1_000;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();

    @AfterEach
    void close() {
        mHosts.forEach(JobHost::close);
        mVertx.close();
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private JobHost startHost(String name, long watchIntervalMs) throws Exception {
        JobHost host =
                runOnEventLoop(
                        () ->
                                Future.succeededFuture(
                                        new JobHost(
                                                mVertx,
                                                mStore,
                                                name,
                                                1,
                                                JobHost.configOf(ROUTE),
                                                () -> watchIntervalMs)));
        mHosts.add(host);
        return host;
    }

    private Acceptance accept(JobHost host, String jobId) throws Exception {
        return runOnEventLoop(() -> host.handler().accept(jobId, "c", ROUTE, JobHost.oneItem(10)));
    }

    private boolean runs(JobHost host, String jobId) throws Exception {
        return runOnEventLoop(() -> Future.succeededFuture(host.runs(jobId)));
    }

    /** One answer of a deferred watch may report the cancellation and the removal together. */
    @Test
    void ownerStopsWhenTheJobIsRemovedRightAfterItsCancellation() throws Exception {
        JobHost owner = startHost("a", WATCH_INTERVAL_MS);
        JobHost other = startHost("b", 0);
        assertEquals(Acceptance.ACCEPTED, accept(owner, "job"));
        for (int i = 0; i < 8; i++) {
            assertEquals(Acceptance.ACCEPTED, accept(other, "other" + i));
        }
        Thread.sleep(50);
        runOnEventLoop(() -> other.handler().cancel("job"));
        runOnEventLoop(
                () ->
                        new JobStorage(mStore, JobHost.MAX_VALUE_BYTES)
                                .remove("job", other.index().summaryRevision("job")));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_RUN_MS);
        while (runs(owner, "job")) {
            assertTrue(System.nanoTime() < end, "the owner still runs the job");
            Thread.sleep(20);
        }
    }
}
