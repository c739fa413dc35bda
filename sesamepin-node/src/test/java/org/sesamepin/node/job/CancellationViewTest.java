package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreTransaction;

/** Checks when items may be sent, by what the reads of the cancellations told. */
class CancellationViewTest {
    private static final long CHECK_INTERVAL_MS = 200;

    private final MemoryStore mStore = new MemoryStore();
    private long mNowMs = 10_000;
    private long mStoreAnsweredMs;
    private final JobIndex mIndex = new JobIndex(this::nanoTime);
    private final CancellationView mView =
            new CancellationView(
                    this::nanoTime,
                    new JobStorage(mStore, JobHost.MAX_VALUE_BYTES),
                    mIndex,
                    () -> TimeUnit.MILLISECONDS.toNanos(mStoreAnsweredMs),
                    () -> {});

    private long nanoTime() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMs);
    }

    /** Lets time pass on a host that has items to send, or none. */
    private void run(long durationMs, boolean hasItems) {
        long end = mNowMs + durationMs;
        while (mNowMs < end) {
            mNowMs += CHECK_INTERVAL_MS;
            mView.check(hasItems);
        }
    }

    private void cancel(String jobId) {
        mStore.commit(
                new StoreTransaction().put(ServingKeys.cancellation(jobId), new byte[] {'1'}, 0));
    }

    @Test
    void outageOfBeforeAllowsNoItemOfNow() {
        mStore.failNextLists(1);
        run(CHECK_INTERVAL_MS, true);
        assertTrue(mView.allowsSending());
        run(60_000, false);
        cancel("job");
        mStore.holdNextList();
        mView.check(true);
        assertFalse(mView.allowsSending());
    }

    @Test
    void failingListenerDoesNotEndTheReads() {
        mIndex.addChangeListener(
                jobId -> {
                    throw new IllegalStateException("scripted");
                });
        cancel("job");
        try {
            run(CHECK_INTERVAL_MS, true);
        } catch (IllegalStateException e) {
            // The event loop reports it and goes on.
        }
        run(10_000, true);
        assertTrue(mView.allowsSending());
    }

    @Test
    void noticedJobWaitsForAReadAlsoWhileTheStoreIsAway() {
        mStore.failNextLists(Integer.MAX_VALUE);
        run(CHECK_INTERVAL_MS, true);
        mView.onNotice("job");
        run(10_000, true);
        assertFalse(mView.allowsSending("job"));
        assertTrue(mView.allowsSending("other"));
        mStore.failNextLists(0);
        run(1_000, true);
        assertTrue(mView.allowsSending("job"));
    }

    @Test
    void refusedReadsAreNoOutageWhileWritesSucceed() {
        run(CHECK_INTERVAL_MS, true);
        mStore.failNextLists(Integer.MAX_VALUE);
        cancel("job");
        for (int i = 0; i < 20; i++) {
            mStoreAnsweredMs = mNowMs;
            run(CHECK_INTERVAL_MS, true);
        }
        assertFalse(mView.allowsSending() && !mIndex.isCancelled("job"));
    }

    @Test
    void itemsGoOnWhileEachReadTakesLongerThanTheBound() {
        long allowedMs = 0;
        long end = mNowMs + 20_000;
        while (mNowMs < end) {
            Promise<Void> answer = mStore.holdNextList();
            for (int i = 0; i < 12; i++) {
                run(CHECK_INTERVAL_MS, true);
                allowedMs += mView.allowsSending() ? CHECK_INTERVAL_MS : 0;
            }
            answer.complete();
            allowedMs += mView.allowsSending() ? 1 : 0;
        }
        assertTrue(allowedMs > 0);
    }
}
