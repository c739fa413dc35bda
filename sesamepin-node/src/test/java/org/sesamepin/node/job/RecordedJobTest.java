package org.sesamepin.node.job;

import static java.util.Objects.requireNonNull;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreTransaction;

/** Goes on with jobs whose records in the store were written by other builds. */
class RecordedJobTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);
    private static final String JOB = "j1";
    private static final String SUMMARY_KEY = ServingKeys.job(JOB);

    /** Longer than the delay after which any host claims a job without an owner. */
    private static final long TIMEOUT_MS = 8_000;

    private static final String OWNER = "{\"host\":\"host-b\",\"incarnation\":1796587200123}";
    private static final String HOST =
            "{\"peer\":\"127.0.0.1:2\",\"incarnation\":1796587200123,\"cores\":1.0}";
    private static final String SUMMARY =
            "{\"customer\":\"c\",\"route\":\"r\",\"total\":2,\"published\":1,\"segments\":1,"
                    + "\"open_tokens\":10,\"accepted_at_ms\":1796587200456}";
    private static final String ITEMS =
            "{\"items\":[{\"id\":\"i1\",\"path\":\"/b/1\",\"headers\":{\"Model\":\"m\"},"
                    + "\"body\":\"b25l\",\"tokens\":10},{\"id\":\"i2\",\"path\":\"/b/2\","
                    + "\"headers\":{\"X-Prompt-Parts\":\"a1b2c3d4:200\"},\"body\":\"dHdv\","
                    + "\"tokens\":10}]}";
    private static final String RESULTS =
            "{\"writer\":1796587200123,\"results\":[{\"id\":\"i1\",\"done\":true,"
                    + "\"output\":\"text\"}],\"failures\":{\"i2\":1}}";

    /** A field that this build does not know, before the first one. */
    private static final String UNKNOWN_FIELD = "{\"next_build\":{\"x\":[1,null,\"y\"]},";

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();

    @AfterEach
    void close() {
        mHosts.forEach(JobHost::close);
        mVertx.close();
    }

    private <T> T onLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private <T> T read(Supplier<T> value) throws Exception {
        return onLoop(() -> Future.succeededFuture(value.get()));
    }

    private void awaitTrue(String what, Supplier<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!read(condition)) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(20);
        }
    }

    private JobHost start() throws Exception {
        JobHost host =
                read(() -> new JobHost(mVertx, mStore, "a", 1, JobHost.configOf(ROUTE), () -> 0));
        mHosts.add(host);
        return host;
    }

    private void store(StoreTransaction transaction) throws Exception {
        onLoop(() -> mStore.commit(transaction));
    }

    /** Returns the records of a job, in order, as a process that has ended left them. */
    private static StoreTransaction records(boolean withUnknownFields) {
        return new StoreTransaction()
                .put(SUMMARY_KEY, extend(SUMMARY, withUnknownFields))
                .put(ServingKeys.itemPart(JOB, 0), extend(ITEMS, withUnknownFields))
                .put(ServingKeys.segment(JOB, 0), extend(RESULTS, withUnknownFields));
    }

    private static String extend(String json, boolean withUnknownField) {
        return withUnknownField ? json.replaceFirst("\\{", UNKNOWN_FIELD) : json;
    }

    private List<JobResult> readResults(JobHost host) throws Exception {
        return onLoop(
                () ->
                        host.handler()
                                .findSummary(JOB)
                                .compose(s -> host.reader().readResults(JOB, s, 0, 0))
                                .map(JobContentReader.Page::results));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void jobOfAnotherBuildIsClaimedAndCompleted(boolean withUnknownFields) throws Exception {
        store(records(withUnknownFields));
        JobHost host = start();
        awaitTrue("the job is claimed", () -> host.runs(JOB));
        JobResult first = new JobResult("i1", true, "text");
        assertEquals(List.of(first), readResults(host));
        read(
                () -> {
                    host.complete(JOB, 1, "more");
                    return true;
                });
        awaitTrue("the results are published", () -> !host.runs(JOB));
        assertEquals(List.of(first, new JobResult("i2", true, "more")), readResults(host));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void jobOfALiveOwnerOfAnotherBuildIsLeftToIt(boolean withUnknownFields) throws Exception {
        store(
                records(withUnknownFields)
                        .put(ServingKeys.host("host-b"), extend(HOST, withUnknownFields))
                        .put(ServingKeys.owner(JOB), extend(OWNER, withUnknownFields)));
        JobHost host = start();
        awaitTrue("the job is known", () -> host.index().summary(JOB) != null);
        assertEquals(
                List.of("host-b", 1_796_587_200_123L),
                read(
                        () -> {
                            JobCodec.Owner owner = requireNonNull(host.index().owner(JOB));
                            return List.of(owner.host(), owner.incarnation());
                        }));
        assertEquals(List.of(), read(() -> host.index().openJobsNotOwnedByOthers("a")));
    }

    @Test
    void cancellationOfAnotherBuildIsKept() throws Exception {
        store(records(false).put(ServingKeys.cancellation(JOB), "1"));
        JobHost host = start();
        awaitTrue("the job is known", () -> host.index().summary(JOB) != null);
        assertTrue(read(() -> host.index().isCancelled(JOB)));
        assertEquals(List.of(), read(() -> host.index().openJobsNotOwnedByOthers("a")));
    }

    /** Guards against an accepted job that is denied since one of its records is unreadable. */
    @ParameterizedTest
    @ValueSource(strings = {"not JSON", "{}", "{\"customer\":\"c\",\"total\":\"two\"}"})
    void jobWithAnUnreadableRecordIsNeitherDeniedNorChanged(String summary) throws Exception {
        store(records(false).put("other", "").put(SUMMARY_KEY, summary));
        String other = SUMMARY_KEY + "-other";
        store(new StoreTransaction().put(other, SUMMARY));
        JobHost host = start();
        awaitTrue("the other job is known", () -> host.index().summary("j1-other") != null);
        assertThrows(ExecutionException.class, () -> readResults(host));
        assertEquals(summary, mStore.textOf(SUMMARY_KEY));
        assertEquals(ITEMS, mStore.textOf(ServingKeys.itemPart(JOB, 0)));
        assertEquals(RESULTS, mStore.textOf(ServingKeys.segment(JOB, 0)));
    }
}
