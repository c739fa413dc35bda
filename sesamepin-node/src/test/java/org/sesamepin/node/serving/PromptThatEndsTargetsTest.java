package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.spi.StoreTransaction;

/** Plays requests of which some have a part that ends each target that answers it. */
class PromptThatEndsTargetsTest {
    private static final int NODES = 3;
    private static final int TARGETS = 8;
    private static final int LEARNED_AFTER_ENDS = 5;
    private static final long LEARNING_WINDOW_MS = 3_000;
    private static final int MAX_ARRIVALS_AFTERWARDS = 3;

    /** Time in which several probes are due. */
    private static final long PROBED_MS = 36_000;

    private static final double MIN_SERVED = 0.5;

    /** Time after the last disruption in which each accepted item has to be done. */
    private static final long FINISH_MS = 18_000;

    /** Time in which an item meets the ends of several targets, with its back-off between them. */
    private static final long ENDS_MS = 60_000;

    /** Wait after the second claim that hosts which counted claims have stored. */
    private static final long SECOND_CLAIM_WAIT_MS = 31_250;

    private static final int SUBJECTS = 6;
    private static final int ITEMS = 4;
    private static final long LONG_EVENT_INTERVAL_MS = 1_200;
    private static final String BAD = "bad";
    private static final String REFUSAL = ProblemType.PROMPT_QUARANTINED.label();
    private static final MemoryStore.Fault[] REFUSED_WRITES = new MemoryStore.Fault[500];

    static {
        Arrays.fill(REFUSED_WRITES, MemoryStore.Fault.REFUSED);
    }

    private final AtomicInteger mSoundSent = new AtomicInteger();
    private final AtomicInteger mSoundServed = new AtomicInteger();

    /** Starts the load; returns the timer that sends the bad requests. */
    private long startLoad(LoopbackFleet fleet, List<String> badParts) {
        AtomicInteger sent = startSoundLoad(fleet);
        return fleet.vertx().setPeriodic(90, t -> fleet.send(sent.get() % NODES, badParts));
    }

    private AtomicInteger startSoundLoad(LoopbackFleet fleet) {
        AtomicInteger sent = new AtomicInteger();
        fleet.vertx()
                .setPeriodic(
                        12,
                        t -> {
                            int n = sent.getAndIncrement();
                            List<String> parts = List.of("first", "subject" + n % SUBJECTS);
                            mSoundSent.incrementAndGet();
                            fleet.send(n % NODES, parts)
                                    .onSuccess(s -> mSoundServed.addAndGet(s == 200 ? 1 : 0));
                        });
        return sent;
    }

    @ParameterizedTest
    @CsvSource({"STREAM,first+bad", "RESUMABLE_STREAM,first+bad", "STREAM,bad+subject1"})
    void requestsWithAPartThatEndsTargetsStopReachingThem(RouteKind kind, String badParts)
            throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(kind, Set.of(BAD))) {
            fleet.start(NODES, TARGETS);
            onLoop(fleet, () -> startLoad(fleet, List.of(badParts.split("\\+"))));
            Thread.sleep(TimeUnit.SECONDS.toMillis(3) + LEARNING_WINDOW_MS);
            int sentBefore = mSoundSent.get();
            int servedBefore = mSoundServed.get();
            Thread.sleep(3_000);
            List<Long> ends = onLoopGet(fleet, () -> List.copyOf(fleet.targets().endNanos()));
            List<Long> arrivals =
                    onLoopGet(fleet, () -> List.copyOf(fleet.targets().badArrivalNanos()));
            long late =
                    ends.size() < LEARNED_AFTER_ENDS
                            ? 0
                            : arrivals.stream().filter(at -> at > learnedAt(ends)).count();
            assertTrue(late <= MAX_ARRIVALS_AFTERWARDS, late + " arrived, ends=" + ends.size());
            double served =
                    (double) (mSoundServed.get() - servedBefore) / (mSoundSent.get() - sentBefore);
            assertTrue(served >= MIN_SERVED, "sound requests served: " + served);
        }
    }

    /** Guards against callers that are refused for minutes, since a part is held back wrongly. */
    @Test
    void requestsWhosePartIsHeldBackWronglyAreServedSoon() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(NODES, TARGETS);
            long nowMs = System.currentTimeMillis();
            onLoop(fleet, () -> fleet.store().commit(quarantine("shared", nowMs)));
            awaitTrue(FINISH_MS, "all know it", () -> fleet.quarantines(NODES - 1) == 1);
            onLoop(
                    fleet,
                    () -> fleet.vertx().setPeriodic(200, t -> fleet.send(1, List.of("shared"))));
            awaitTrue(FINISH_MS, "it is lifted", () -> fleet.quarantines(1) == 0);
        }
    }

    /** Guards against probes that end one target after the other. */
    @Test
    void fewProbesOfRequestsEndTargets() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(BAD))) {
            fleet.start(NODES, TARGETS);
            onLoop(fleet, () -> startLoad(fleet, List.of("first", BAD)));
            Thread.sleep(PROBED_MS);
            List<Long> ends = onLoopGet(fleet, () -> List.copyOf(fleet.targets().endNanos()));
            List<Long> arrivals =
                    onLoopGet(fleet, () -> List.copyOf(fleet.targets().badArrivalNanos()));
            long late =
                    ends.size() < LEARNED_AFTER_ENDS
                            ? 0
                            : arrivals.stream().filter(at -> at > learnedAt(ends)).count();
            assertTrue(late <= MAX_ARRIVALS_AFTERWARDS, late + " arrived, ends=" + ends.size());
        }
    }

    @Test
    void aHostThatStartsAfterAllHavePoweredOffKnowsThem() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(BAD))) {
            fleet.start(NODES, TARGETS);
            learn(fleet);
            fleet.closeNodes();
            int before = onLoopGet(fleet, () -> fleet.targets().badArrivalNanos().size());
            fleet.startNode();
            awaitRefusal(fleet, 0);
            assertEquals(before, onLoopGet(fleet, () -> fleet.targets().badArrivalNanos().size()));
            assertRefusedEverywhere(fleet, 1);
        }
    }

    @Test
    void allHostsKnowThemWhileTheStoreTakesNoWrites() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(BAD))) {
            fleet.start(NODES, TARGETS);
            onLoop(fleet, () -> fleet.store().injectFaults(REFUSED_WRITES));
            learn(fleet);
            assertRefusedEverywhere(fleet, NODES);
        }
    }

    @Test
    void itemsWithThemStayOpenAndOthersComplete() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of(BAD))) {
            fleet.start(NODES, TARGETS);
            onLoop(fleet, () -> startSoundLoad(fleet));
            fleet.submitJob(0, "job", List.of("first", BAD, "first", BAD, "first", BAD));
            Thread.sleep(LEARNING_WINDOW_MS);
            int before = onLoopGet(fleet, () -> fleet.targets().badArrivalNanos().size());
            Thread.sleep(LEARNING_WINDOW_MS);
            int after = onLoopGet(fleet, () -> fleet.targets().badArrivalNanos().size());
            assertTrue(after - before <= MAX_ARRIVALS_AFTERWARDS, before + " and then " + after);
            assertEquals(3, fleet.results(0, "job").size());
        }
    }

    /**
     * An item that ran at several targets when they ended must not wait for minutes: it may have
     * met them by chance, and its job is due. Guards against an item that nobody runs or gives up,
     * whatever the number of ends.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 7})
    void anItemUnderWhichTargetsEndedByChanceIsDoneSoon(int ends) throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(NODES, TARGETS);
            onLoop(fleet, () -> startSoundLoad(fleet));
            onLoop(fleet, () -> fleet.targets().setBadRequestId("job0"));
            fleet.submitJob(0, "job", List.of("first"));
            awaitTrue(
                    ENDS_MS,
                    ends + " targets end",
                    () -> fleet.onLoop(() -> endCount(fleet)) >= ends);
            onLoop(fleet, () -> fleet.targets().setBadRequestId(""));
            awaitTrue(FINISH_MS, "the item is done", () -> fleet.results(0, "job").size() == 1);
        }
    }

    private static Future<Integer> endCount(LoopbackFleet fleet) {
        return Future.succeededFuture(fleet.targets().endNanos().size());
    }

    /** Guards against an item that is held by its id, since a host of an earlier build did so. */
    @Test
    void anItemThatAnEarlierBuildHoldsByItsIdIsDoneSoon() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(NODES, TARGETS);
            long nowMs = System.currentTimeMillis();
            onLoop(fleet, () -> fleet.store().commit(quarantine("item:job0", nowMs)));
            awaitTrue(
                    FINISH_MS,
                    "no host holds it, nor does the store",
                    () -> fleet.onLoop(() -> storedQuarantines(fleet)) == 0);
            fleet.submitJob(0, "job", List.of("first"));
            awaitTrue(FINISH_MS, "the item is done", () -> fleet.results(0, "job").size() == 1);
            assertEquals(0, fleet.quarantines(0));
        }
    }

    private static Future<Long> storedQuarantines(LoopbackFleet fleet) {
        return Future.succeededFuture(
                fleet.store().countKeys(ServingKeys.promptQuarantinePrefix()));
    }

    /** Guards against items that wait for a quarantine which none of their hosts may probe. */
    @Test
    void itemsWhoseSharedPartIsHeldBackWronglyAreDoneSoon() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(NODES, TARGETS);
            long nowMs = System.currentTimeMillis();
            onLoop(fleet, () -> fleet.store().commit(quarantine("shared", nowMs)));
            awaitTrue(FINISH_MS, "all know it", () -> fleet.quarantines(NODES - 1) == 1);
            for (int node = 0; node < NODES; node++) {
                fleet.submitJob(node, "job" + node, Collections.nCopies(ITEMS, "shared"));
            }
            for (int node = 0; node < NODES; node++) {
                String job = "job" + node;
                int ofNode = node;
                awaitTrue(
                        FINISH_MS,
                        "all items are done",
                        () -> fleet.results(ofNode, job).size() == ITEMS);
            }
        }
    }

    /** Guards against sound items that wait for long since a probe was lost with its host. */
    @Test
    void itemsAreDoneInTimeAfterAProbeThatCameToNothing() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(NODES, TARGETS);
            long nowMs = System.currentTimeMillis();
            onLoop(fleet, () -> fleet.store().commit(claimedQuarantine("shared", nowMs)));
            awaitTrue(FINISH_MS, "it is known", () -> fleet.quarantines(0) == 1);
            fleet.submitJob(0, "job", Collections.nCopies(ITEMS, "shared"));
            awaitTrue(FINISH_MS, "items are done", () -> fleet.results(0, "job").size() == ITEMS);
        }
    }

    /** Guards against items that wait until one of them, which may take long, is done. */
    @Test
    void aQuarantineIsLiftedWhileItsProbeIsBeingAnswered() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(NODES, TARGETS);
            long nowMs = System.currentTimeMillis();
            onLoop(fleet, () -> fleet.targets().setEventIntervalMs(LONG_EVENT_INTERVAL_MS));
            onLoop(fleet, () -> fleet.store().commit(quarantine("shared", nowMs)));
            awaitTrue(FINISH_MS, "it is known", () -> fleet.quarantines(0) == 1);
            fleet.submitJob(0, "job", List.of("shared"));
            awaitTrue(FINISH_MS, "it is lifted", () -> fleet.quarantines(0) == 0);
            assertEquals(0, fleet.results(0, "job").size());
        }
    }

    private static StoreTransaction quarantine(String part, long nowMs) {
        String entry =
                "{\"service\":\"%s\",\"parts\":[\"%s\"],\"since_ms\":%d,\"until_ms\":%d}"
                        .formatted(
                                StandInTargets.SERVICE,
                                part,
                                nowMs,
                                nowMs + TimeUnit.MINUTES.toMillis(10));
        String key = ServingKeys.promptQuarantinePrefix() + StandInTargets.SERVICE + '/' + part;
        return new StoreTransaction().put(key, entry);
    }

    /** A quarantine of which a host, gone by now, has claimed the second probe. */
    private static StoreTransaction claimedQuarantine(String part, long nowMs) {
        String entry =
                ("{\"service\":\"%s\",\"parts\":[\"%s\"],\"since_ms\":%d,\"until_ms\":%d,"
                                + "\"item_claims\":2,\"next_item_probe_ms\":%d}")
                        .formatted(
                                StandInTargets.SERVICE,
                                part,
                                nowMs,
                                nowMs + TimeUnit.MINUTES.toMillis(10),
                                nowMs + SECOND_CLAIM_WAIT_MS);
        String key = ServingKeys.promptQuarantinePrefix() + StandInTargets.SERVICE + '/' + part;
        return new StoreTransaction().put(key, entry);
    }

    private static void awaitTrue(long timeoutMs, String what, Callable<Boolean> condition)
            throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.call()) {
            assertTrue(System.nanoTime() - deadline < 0, what);
            Thread.sleep(50);
        }
    }

    /** Sends sound and bad requests until all nodes refuse the bad ones. */
    private void learn(LoopbackFleet fleet) throws Exception {
        long timer = onLoopGet(fleet, () -> startLoad(fleet, List.of("first", BAD)));
        for (int node = 0; node < NODES; node++) {
            awaitRefusal(fleet, node);
        }
        onLoop(fleet, () -> fleet.vertx().cancelTimer(timer));
    }

    private static void awaitRefusal(LoopbackFleet fleet, int node) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!REFUSAL.equals(fleet.onLoop(() -> fleet.sendForProblem(node, List.of(BAD))))) {
            assertTrue(System.nanoTime() - deadline < 0, "node " + node + " still sends them");
            Thread.sleep(100);
        }
    }

    private static void assertRefusedEverywhere(LoopbackFleet fleet, int nodes) throws Exception {
        int before = onLoopGet(fleet, () -> fleet.targets().badArrivalNanos().size());
        for (int node = 0; node < nodes; node++) {
            int ofNode = node;
            assertEquals(
                    REFUSAL,
                    fleet.onLoop(() -> fleet.sendForProblem(ofNode, List.of("other", BAD))));
        }
        assertEquals(before, onLoopGet(fleet, () -> fleet.targets().badArrivalNanos().size()));
    }

    private static long learnedAt(List<Long> ends) {
        return ends.get(LEARNED_AFTER_ENDS - 1) + TimeUnit.MILLISECONDS.toNanos(LEARNING_WINDOW_MS);
    }

    private static void onLoop(LoopbackFleet fleet, Runnable task) throws Exception {
        fleet.onLoop(
                () -> {
                    task.run();
                    return Future.succeededFuture();
                });
    }

    private static <T> T onLoopGet(LoopbackFleet fleet, Supplier<T> task) throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }
}
