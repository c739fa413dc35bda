package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.job.MemoryStore.Fault;
import org.sesamepin.node.serving.ServingKeys;

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

    /** Stores a job whose owner is a process that has ended, so that the host has to claim it. */
    private void storeJobOfEndedProcess(MemoryStore store, String jobId) throws Exception {
        runOnEventLoop(
                () ->
                        new JobStorage(store, JobHost.MAX_VALUE_BYTES)
                                .accept(
                                        jobId,
                                        new JobSummary("c", "r", 1, 0, 0, 10, 0),
                                        JobHost.oneItem(10),
                                        0,
                                        JobCodec.encodeOwner("a", 0),
                                        0));
    }

    /** A job must run although the answers to the writes that claimed it were lost. */
    @ParameterizedTest
    @CsvSource({"ANSWER_LOST,NONE", "ANSWER_LOST,ANSWER_LOST", "LATE,ANSWER_LOST", "LOST,NONE"})
    void jobRunsAfterTheAnswerToItsClaimWasLost(Fault first, Fault second) throws Exception {
        MemoryStore store = new MemoryStore();
        storeJobOfEndedProcess(store, "job");
        // The host's registration is written first.
        store.injectFaults(Fault.NONE, first, second);
        JobHost host = startHost(store, "a");
        awaitTrue("the host runs the job", () -> host.runs("job"));
    }

    /** A job must run although it could not be read after its claim was confirmed. */
    @Test
    void jobRunsAfterReadingItFailedOnceClaimed() throws Exception {
        MemoryStore store = new MemoryStore();
        storeJobOfEndedProcess(store, "job");
        JobHost host = startHost(store, "a");
        awaitTrue("the host has listed the job", () -> host.index().summary("job") != null);
        read(
                () -> {
                    store.failNextLists(1);
                    return null;
                });
        awaitTrue("the host runs the job", () -> host.runs("job"));
    }

    /** A host that has not seen a cancellation yet must not start the job's items. */
    @Test
    void jobCancelledMeanwhileIsNotClaimed() throws Exception {
        MemoryStore store = new MemoryStore();
        JobHost host = startHost(store, "a");
        awaitTrue("the host is registered", () -> !host.index().hosts().isEmpty());
        store.injectFaults(Fault.ANSWER_LOST);
        assertEquals(Acceptance.ACCEPTED, accept(host, "job"));
        read(
                () -> {
                    host.stopWatching();
                    return null;
                });
        runOnEventLoop(() -> new JobStorage(store, JobHost.MAX_VALUE_BYTES).markCancelled("job"));
        int commits = read(store::commits);
        awaitTrue("the host has tried to claim", () -> store.commits() > commits);
        assertFalse(read(() -> host.runs("job")));
    }

    /** A cancellation that was stored for an earlier job must not keep a new one from running. */
    @Test
    void jobRunsThoughACancellationIsLeftFromAnEarlierOneWithItsId() throws Exception {
        MemoryStore store = new MemoryStore();
        runOnEventLoop(() -> new JobStorage(store, JobHost.MAX_VALUE_BYTES).markCancelled("job"));
        JobHost host = startHost(store, "a");
        awaitTrue("the host is registered", () -> !host.index().hosts().isEmpty());
        assertEquals(Acceptance.ACCEPTED, accept(host, "job"));
        awaitTrue("the host runs the job", () -> host.runs("job"));
    }

    /** The removal of an expired job that takes effect late must not remove a new one. */
    @Test
    void jobIsKeptWhenTheRemovalOfAnEarlierOneWithItsIdTakesEffectLate() throws Exception {
        MemoryStore store = new MemoryStore();
        JobHost host = startHost(store, "a");
        JobStorage storage = new JobStorage(store, JobHost.MAX_VALUE_BYTES);
        awaitTrue("the host is registered", () -> !host.index().hosts().isEmpty());
        assertEquals(Acceptance.ACCEPTED, accept(host, "job"));
        runOnEventLoop(() -> storage.markCancelled("job"));
        long revision = read(() -> host.index().summaryRevision("job"));
        store.injectFaults(Fault.LATE);
        runOnEventLoop(() -> storage.remove("job", revision).otherwiseEmpty());
        runOnEventLoop(() -> storage.remove("job", revision));
        assertEquals(Acceptance.ACCEPTED, accept(host, "job"));
        read(
                () -> {
                    store.applyLateWrites();
                    return null;
                });
        assertEquals(1, read(() -> store.countKeys(ServingKeys.job("job"))));
        awaitTrue("the host runs the job", () -> host.runs("job"));
    }

    /**
     * Whatever becomes of the writes by which three hosts accept and claim jobs, exactly one host
     * runs each stored job once the store is calm. Guards against jobs that no host runs, or two.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void exactlyOneHostRunsEachJobAfterRandomFaults(long seed) throws Exception {
        MemoryStore store = new MemoryStore();
        Random random = new Random(seed);
        List<JobHost> hosts = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            hosts.add(startHost(store, name));
        }
        for (JobHost host : hosts) {
            awaitTrue("all hosts are registered", () -> host.index().hosts().size() == 3);
        }
        List<String> jobIds = IntStream.range(10, 22).mapToObj(i -> "job" + i).toList();
        Fault[] faults = Fault.values();
        read(
                () -> {
                    store.setFaultSource(() -> faults[random.nextInt(faults.length)]);
                    return null;
                });
        for (String jobId : jobIds) {
            accept(hosts.get(random.nextInt(hosts.size())), jobId);
            if (random.nextInt(4) == 0) {
                read(
                        () -> {
                            store.applyLateWrites();
                            return null;
                        });
            }
        }
        Thread.sleep(1_500);
        read(
                () -> {
                    store.setFaultSource(() -> Fault.NONE);
                    store.applyLateWrites();
                    return null;
                });
        for (String jobId : jobIds) {
            boolean isStored = read(() -> store.countKeys(ServingKeys.job(jobId))) > 0;
            long expected = isStored ? 1 : 0;
            awaitTrue(
                    expected + " hosts run " + jobId,
                    () -> hosts.stream().filter(host -> host.runs(jobId)).count() == expected);
        }
    }
}
