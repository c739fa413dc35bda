package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.MemoryStore.Fault;

/** Checks that a result that was read at one host is found at each other host from then on. */
class JobReadTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);
    private static final String JOB = "job";
    private static final long TIMEOUT_MS = 8_000;

    /** Time after which a result that was read at one host is due at all of them. */
    private static final long SETTLE_MS = 1_000;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();

    @AfterEach
    void close() {
        mHosts.forEach(JobHost::close);
        mVertx.close();
    }

    private <T> Future<T> onLoop(Supplier<Future<T>> task) {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future();
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private JobHost startHost(String name) throws Exception {
        Supplier<JobHost> start =
                () -> new JobHost(mVertx, mStore, name, 1, JobHost.configOf(ROUTE), () -> 0);
        JobHost host = await(onLoop(() -> Future.succeededFuture(start.get())));
        mHosts.add(host);
        return host;
    }

    private void awaitTrue(String what, Supplier<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!await(onLoop(() -> Future.succeededFuture(condition.get())))) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(20);
        }
    }

    /** Reads at a host from the first position on, without waiting for a result. */
    private Future<Integer> countResults(JobHost host) {
        return onLoop(
                () ->
                        host.handler()
                                .findSummary(JOB)
                                .compose(summary -> host.reader().readResults(JOB, summary, 0, 0))
                                .map(page -> page.results().size()));
    }

    private JobHost startOwner() throws Exception {
        JobHost owner = startHost("a");
        await(onLoop(() -> owner.handler().accept(JOB, "c", ROUTE, JobHost.oneItem(10))));
        awaitTrue("the owner runs the job", () -> owner.runs(JOB));
        return owner;
    }

    private void run(Runnable action) throws Exception {
        await(
                onLoop(
                        () -> {
                            action.run();
                            return Future.succeededFuture();
                        }));
    }

    private void completeItem(JobHost owner) throws Exception {
        run(() -> owner.complete(JOB, 0, "x"));
    }

    /** The store carries out the next write, but the owner does not learn it. */
    private void loseAnswersOfWrites() {
        mStore.injectFaults(Fault.ANSWER_LOST);
        mStore.setFaultSource(() -> Fault.LOST);
    }

    /** The owner may not know that the store holds a result which another host has shown. */
    @Test
    void resultWhoseWriteIsUnconfirmedIsFoundAtItsOwner() throws Exception {
        JobHost owner = startOwner();
        JobHost other = startHost("b");
        loseAnswersOfWrites();
        completeItem(owner);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (await(countResults(other)) == 0) {
            assertTrue(System.nanoTime() < end, "the other host shows the result");
            Thread.sleep(20);
        }
        Thread.sleep(SETTLE_MS);
        assertEquals(1, await(countResults(owner)));
    }

    /** An owner that cannot tell whether the store holds a result must not deny it. */
    @Test
    void unconfirmedResultIsNotDeniedWhileTheStoreCannotBeRead() throws Exception {
        JobHost owner = startOwner();
        loseAnswersOfWrites();
        completeItem(owner);
        Thread.sleep(SETTLE_MS);
        run(() -> mStore.failNextLists(Integer.MAX_VALUE));
        assertThrows(ExecutionException.class, () -> await(countResults(owner)));
    }

    /** A read that joins an earlier one must not show less than was stored when it arrived. */
    @Test
    void resultStoredDuringAnEarlierReadIsFound() throws Exception {
        JobHost owner = startOwner();
        JobHost other = startHost("b");
        awaitTrue("the other host knows the job", () -> other.index().summary(JOB) != null);
        Promise<Void> release = mStore.holdNextList();
        Future<Integer> earlier = countResults(other);
        completeItem(owner);
        awaitTrue("the result is stored", () -> !owner.runs(JOB));
        Future<Integer> later = countResults(other);
        run(release::complete);
        await(earlier);
        assertEquals(1, await(later));
    }
}
