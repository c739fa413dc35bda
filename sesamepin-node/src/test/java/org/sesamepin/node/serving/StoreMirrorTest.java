package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;

/**
 * Tests that a mirror misses no change when a watch fails, when the store has lost its history, and
 * when the rate limit defers the next watch.
 */
class StoreMirrorTest {
    private final Vertx mVertx = Vertx.vertx();
    private final ScriptedStore mStore = new ScriptedStore();
    private final List<String> mReceived = new ArrayList<>();
    private long mIntervalMs;
    private CountDownLatch mListed = new CountDownLatch(1);
    private final WatchRateLimiter mRateLimiter =
            new WatchRateLimiter(Ticker.SYSTEM, () -> mIntervalMs);
    private final StoreMirror mMirror =
            new StoreMirror(mVertx, mStore, "config/", new Recorder(), mRateLimiter);

    private final class Recorder implements StoreMirror.Listener {
        @Override
        public void onListing(StoreListing listing, boolean afterOutage) {
            listing.entries().forEach(e -> mReceived.add(e.key() + '=' + e.text()));
            mListed.countDown();
        }

        @Override
        public void onChanges(StoreChanges changes, boolean afterOutage) {
            changes.changes().forEach(c -> mReceived.add("changed " + c.key()));
        }
    }

    @AfterEach
    void close() {
        mVertx.close();
    }

    @Test
    void watchStartsAtTheListedRevision() {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mStore.deliverChange("config/now");
        assertEquals(List.of("config/now=1", "changed config/now"), mReceived);
        assertEquals(List.of(11L, 12L), mStore.watchedFrom());
    }

    /**
     * After a compaction a store may never reply to a watch that continues from an old revision. A
     * change during the interruption would then be missed, so the mirror has to list again.
     */
    @Test
    void prefixIsListedAgainAfterAFailedWatch() throws InterruptedException {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mListed = new CountDownLatch(1);
        mStore.failWatch();
        mListed.await(5, TimeUnit.SECONDS);
        assertEquals(List.of("config/now=1", "config/now=2"), mReceived);
        assertEquals(2, mStore.listCalls());
    }

    @Test
    void prefixIsListedAgainWhenTheHistoryIsLost() {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mStore.loseHistory();
        assertEquals(List.of("config/now=1", "config/now=2"), mReceived);
    }

    @Test
    void refreshIgnoresTheReplyOfThePendingWatch() {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mMirror.refresh();
        mStore.deliverChange("config/now");
        assertEquals(List.of("config/now=1", "config/now=2"), mReceived);
        assertEquals(12L, mMirror.contentRevision());
    }

    @Test
    void frequentChangesAreDeferredUntilAnImmediateWatch() {
        mIntervalMs = TimeUnit.HOURS.toMillis(1);
        mMirror.start();
        int written = 0;
        while (!mMirror.isWatchDeferred()) {
            mStore.write("config/" + written, "1");
            mStore.deliverChange("config/" + written);
            written++;
        }
        int watches = mStore.watchedFrom().size();
        mStore.write("config/urgent", "1");
        assertEquals(watches, mStore.watchedFrom().size());
        mMirror.watchNow();
        assertEquals(watches + 1, mStore.watchedFrom().size());
        assertFalse(mMirror.isWatchDeferred());
    }

    /** An entry that a listener cannot handle must not end the mirror or cost other listeners. */
    @Test
    void mirrorGoesOnAfterAListenerFailed() {
        StoreMirror mirror =
                new StoreMirror(
                        mVertx,
                        mStore,
                        "config/",
                        new MirrorFanOut(List.of(new FailingListener(), new Recorder())),
                        mRateLimiter);
        mStore.write("config/now", "1");
        mirror.start();
        mStore.write("config/now", "2");
        mStore.deliverChange("config/now");
        mStore.write("config/now", "3");
        mStore.deliverChange("config/now");
        assertEquals(
                List.of("config/now=1", "changed config/now", "changed config/now"), mReceived);
    }

    private static final class FailingListener implements StoreMirror.Listener {
        @Override
        public void onListing(StoreListing listing, boolean afterOutage) {
            throw new IllegalStateException("scripted");
        }

        @Override
        public void onChanges(StoreChanges changes, boolean afterOutage) {
            throw new StackOverflowError("scripted");
        }
    }
}
