package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.serving.RouteKind;

/** Plays requests of which some have a part that ends each target that answers it. */
class PromptThatEndsTargetsTest {
    private static final int NODES = 3;
    private static final int TARGETS = 8;
    private static final int LEARNED_AFTER_ENDS = 5;
    private static final long LEARNING_WINDOW_MS = 3_000;
    private static final int MAX_ARRIVALS_AFTERWARDS = 3;
    private static final double MIN_SERVED = 0.5;
    private static final int SUBJECTS = 6;
    private static final String BAD = "bad";

    private final AtomicInteger mSoundSent = new AtomicInteger();
    private final AtomicInteger mSoundServed = new AtomicInteger();

    private void startLoad(LoopbackFleet fleet, List<String> badParts) {
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
        fleet.vertx().setPeriodic(90, t -> fleet.send(sent.get() % NODES, badParts));
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

    private static <T> T onLoopGet(LoopbackFleet fleet, java.util.function.Supplier<T> task)
            throws Exception {
        return fleet.onLoop(() -> Future.succeededFuture(task.get()));
    }
}
