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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.job.MemoryStore.Fault;

/** Checks that each accepted job is run by exactly one host when writes of its owner fail. */
class JobOwnershipTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);

    /** Longer than the delay after which any host claims a job without an owner. */
    private static final long HEAL_TIMEOUT_MS = 8_000;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
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

    private <T> T read(Supplier<T> value) throws Exception {
        return runOnEventLoop(() -> Future.succeededFuture(value.get()));
    }

    private JobHost startHost(MemoryStore store, String name) throws Exception {
        JobHost host =
                read(() -> new JobHost(mVertx, store, name, 1, JobHost.configOf(ROUTE), () -> 0));
        mHosts.add(host);
        return host;
    }

    private Acceptance accept(JobHost host, String jobId) throws Exception {
        return runOnEventLoop(() -> host.handler().accept(jobId, "c", ROUTE, JobHost.oneItem(10)));
    }

    private void awaitTrue(String what, Supplier<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEAL_TIMEOUT_MS);
        while (!read(condition)) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(50);
        }
    }

    /** An accepted job must run although the store's answer to its acceptance was lost. */
    @ParameterizedTest
    @CsvSource({"ANSWER_LOST,NONE", "ANSWER_LOST,ANSWER_LOST", "ANSWER_LOST,REFUSED"})
    void jobRunsAfterTheAnswerToItsAcceptanceWasLost(Fault first, Fault second) throws Exception {
        MemoryStore store = new MemoryStore();
        JobHost host = startHost(store, "a");
        store.injectFaults(first, second);
        assertEquals(Acceptance.ACCEPTED, accept(host, "job"));
        awaitTrue("the host runs the job", () -> host.runs("job"));
    }

    /** A job whose acceptance takes effect after its caller was told "unknown" must still run. */
    @Test
    void jobRunsAfterItsAcceptanceTookEffectLate() throws Exception {
        MemoryStore store = new MemoryStore();
        JobHost host = startHost(store, "a");
        store.injectFaults(Fault.LATE, Fault.LATE);
        assertEquals(Acceptance.UNKNOWN, accept(host, "job"));
        runOnEventLoop(
                () -> {
                    store.applyLateWrites();
                    return Future.succeededFuture();
                });
        awaitTrue("the host runs the job", () -> host.runs("job"));
    }
}
