package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.WatchableStore;

/** Checks for how long a host sends items by what it knows of cancellations and of the store. */
class CancellationAgeTest {
    /** Time after a cancellation from which on no item of the job may be sent. */
    private static final long MAX_SENT_MS = 2_500;

    private static final long CHECK_INTERVAL_MS = 200;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private long mNowNanos = 1;

    @AfterEach
    void close() {
        mVertx.close();
    }

    private static CancellationView newView(Ticker ticker, WatchableStore store) {
        JobStorage storage = new JobStorage(store, JobHost.MAX_VALUE_BYTES);
        return new CancellationView(
                ticker,
                storage,
                new JobIndex(ticker),
                () -> ticker.nanoTime() - TimeUnit.SECONDS.toNanos(10),
                () -> {});
    }

    private void pass(long ms) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** A process that was paused must not send by an outage that it saw before the pause. */
    @Test
    void outageBeforeAPauseAllowsNothingAfterIt() {
        MemoryStore store = new MemoryStore();
        CancellationView view = newView(() -> mNowNanos, store);
        view.check(true);
        store.failNextLists(1);
        for (int i = 0; i < 5; i++) {
            pass(CHECK_INTERVAL_MS);
            view.check(true);
        }
        assertTrue(view.allowsSending());
        pass(MAX_SENT_MS);
        assertFalse(view.allowsSending());
    }

    private <T> T runOnEventLoop(Supplier<T> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> promise.complete(task.get()));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static int block(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** A read that times out while the event loop stands still tells nothing about the store. */
    @ParameterizedTest
    @ValueSource(longs = {1_250, 1_500, 3_000})
    void standstillOfTheEventLoopIsNoOutage(long standstillMs) throws Exception {
        List<Long> ages = new ArrayList<>();
        OutageStore store =
                runOnEventLoop(() -> new OutageStore(mVertx, new MemoryStore(), new Random(1)));
        runOnEventLoop(
                () -> {
                    store.setMode(OutageStore.Mode.TIMED);
                    CancellationView view = newView(Ticker.SYSTEM, store);
                    mVertx.setPeriodic(CHECK_INTERVAL_MS, t -> view.check(true));
                    mVertx.setPeriodic(
                            1,
                            t -> {
                                if (view.allowsSending()) {
                                    ages.add(view.ageMs());
                                }
                            });
                    return store;
                });
        Thread.sleep(2_000);
        for (int i = 0; i < 3; i++) {
            int reads = runOnEventLoop(store::lists);
            while (runOnEventLoop(store::lists) == reads) {
                Thread.sleep(1);
            }
            runOnEventLoop(() -> block(standstillMs));
            Thread.sleep(600);
        }
        long oldest = runOnEventLoop(() -> ages.stream().mapToLong(age -> age).max().orElse(0));
        boolean hasTimedOut = runOnEventLoop(store::timeouts) > 0;
        assertTrue(hasTimedOut, "no read has timed out");
        assertTrue(oldest <= CancellationView.MAX_AGE_MS, "sent by a view of " + oldest + " ms");
        assertEquals(true, runOnEventLoop(() -> !ages.isEmpty()));
    }
}
