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
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.serving.RawTarget;

/** Checks that an item does not stay at a target that sends bytes, but no end of the item. */
class EndlessItemRunTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);

    /** The budget of a run, and time for a second one. */
    private static final long DONE_WITHIN_MS = 25_000;

    private static final long BYTE_INTERVAL_MS = 500;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private int mRequests;

    @AfterEach
    void close() {
        mVertx.close();
    }

    private <T> T read(Supplier<T> value) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> promise.complete(value.get()));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** The first answer never comes to its end, though bytes of it go on to arrive. */
    private void answer(NetSocket socket, String head, int numberOnConnection) {
        mRequests++;
        if (mRequests > 1) {
            socket.write(RawTarget.streamHead("i") + RawTarget.event(2) + RawTarget.lastChunk());
            return;
        }
        socket.write(RawTarget.streamHead("i") + RawTarget.event(1));
        long timer = mVertx.setPeriodic(BYTE_INTERVAL_MS, t -> socket.write("1\r\nd\r\n"));
        socket.closeHandler(v -> mVertx.cancelTimer(timer));
    }

    @Test
    void itemIsDoneThoughItsTargetSendsBytesWithoutEnd() throws Exception {
        RawTarget target = new RawTarget(mVertx, "t", this::answer);
        JobHost host =
                read(
                        () ->
                                new JobHost(
                                        mVertx,
                                        new MemoryStore(),
                                        "a",
                                        1,
                                        JobHost.configOf(ROUTE),
                                        () -> 0));
        read(
                () -> {
                    host.setTargets(List.of(target.instance()));
                    return null;
                });
        Future<JobRequestHandler.Acceptance> accepted =
                read(() -> host.handler().accept("job", "c", ROUTE, JobHost.oneItem(1)));
        assertEquals(
                JobRequestHandler.Acceptance.ACCEPTED,
                accepted.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS));
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DONE_WITHIN_MS);
        while (!read(() -> isComplete(host))) {
            assertTrue(System.nanoTime() - deadline < 0, "the item has no result");
            Thread.sleep(50);
        }
        host.close();
    }

    private static boolean isComplete(JobHost host) {
        JobSummary summary = host.index().summary("job");
        return summary != null && summary.isComplete();
    }
}
