package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.serving.RawTarget;

/** Checks that an answer which a target gives twice counts once for a batch item. */
class RepeatedAnswerTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);
    private static final long TIMEOUT_MS = 15_000;
    private static final long OWN_ANSWER_DELAY_MS = 500;
    private static final String FAILURE = RawTarget.response(500, "Id: i|Signed: 1", "failed");

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final AtomicInteger mFailures = new AtomicInteger();

    @AfterEach
    void close() {
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

    /**
     * Fails the first run of the item, and writes that failure once more when another request
     * arrives on the same connection, before its own answer. Each later run succeeds.
     */
    private void answer(NetSocket socket, String head, int numberOnConnection) {
        if (mFailures.compareAndSet(0, 1)) {
            socket.write(FAILURE);
            return;
        }
        String stream =
                RawTarget.streamHead("i")
                        + RawTarget.event(1)
                        + RawTarget.event(2)
                        + RawTarget.lastChunk();
        if (numberOnConnection == 1) {
            socket.write(stream);
            return;
        }
        socket.write(FAILURE);
        mVertx.setTimer(OWN_ANSWER_DELAY_MS, t -> socket.write(stream));
    }

    /** An item must not fail for good by one failure that its target reports again and again. */
    @Test
    void failureThatIsReportedTwiceCountsOnce() throws Exception {
        MemoryStore store = new MemoryStore();
        RawTarget target = new RawTarget(mVertx, "t", this::answer);
        JobHost host =
                read(() -> new JobHost(mVertx, store, "a", 1, JobHost.configOf(ROUTE), () -> 0));
        read(
                () -> {
                    host.setTargets(List.of(target.instance()));
                    return null;
                });
        runOnEventLoop(() -> host.handler().accept("job", "c", ROUTE, JobHost.oneItem(1)));
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!read(() -> isComplete(host.index().summary("job")))) {
            assertTrue(System.nanoTime() - deadline < 0, "the item has no result");
            Thread.sleep(50);
        }
        JobContentReader.Page page =
                runOnEventLoop(
                        () ->
                                host.handler()
                                        .findSummary("job")
                                        .compose(
                                                summary ->
                                                        host.reader()
                                                                .readResults(
                                                                        "job", summary, 0, 0)));
        assertEquals(List.of(new JobResult("i", true, "e1\ne2")), page.results());
        host.close();
    }

    private static boolean isComplete(@Nullable JobSummary summary) {
        return summary != null && summary.isComplete();
    }
}
