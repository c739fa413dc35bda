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

/** A watched prefix through cuts and lost history. */
class StoreMirrorTest {
    private final Vertx mVertx = Vertx.vertx();
    private final ScriptedStore mStore = new ScriptedStore();
    private final List<String> mHeard = new ArrayList<>();
    private long mIntervalMs;
    private CountDownLatch mListed = new CountDownLatch(1);
    private final WatchRateLimiter mPace = new WatchRateLimiter(Ticker.SYSTEM, () -> mIntervalMs);
    private final StoreMirror mMirror =
            new StoreMirror(mVertx, mStore, "config/", new Recorder(), mPace);

    private final class Recorder implements StoreMirror.Listener {
        @Override
        public void onListing(StoreListing listing, boolean afterOutage) {
            listing.entries().forEach(e -> mHeard.add(e.key() + '=' + e.text()));
            mListed.countDown();
        }

        @Override
        public void onChanges(StoreChanges changes, boolean afterOutage) {
            changes.changes().forEach(c -> mHeard.add("changed " + c.key()));
        }
    }

    @AfterEach
    void close() {
        mVertx.close();
    }

    @Test
    void watchContinuesFromWhatWasListed() {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mStore.tell("config/now");
        assertEquals(List.of("config/now=1", "changed config/now"), mHeard);
        assertEquals(List.of(11L, 12L), mStore.watchedFrom());
    }

    /** After a compaction a store may answer a continued watch with silence. */
    @Test
    void prefixIsListedAgainAfterACutWatch() throws InterruptedException {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mListed = new CountDownLatch(1);
        mStore.cutWatch();
        mListed.await(5, TimeUnit.SECONDS);
        assertEquals(List.of("config/now=1", "config/now=2"), mHeard);
        assertEquals(2, mStore.lists());
    }

    @Test
    void prefixIsListedAgainWhenTheHistoryIsLost() {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mStore.loseHistory();
        assertEquals(List.of("config/now=1", "config/now=2"), mHeard);
    }

    @Test
    void refreshForgetsTheWaitingWatch() {
        mStore.write("config/now", "1");
        mMirror.start();
        mStore.write("config/now", "2");
        mMirror.refresh();
        mStore.tell("config/now");
        assertEquals(List.of("config/now=1", "config/now=2"), mHeard);
        assertEquals(12L, mMirror.contentRevision());
    }

    @Test
    void flowOfChangesIsHeldBackUntilSomebodyIsInAHurry() {
        mIntervalMs = TimeUnit.HOURS.toMillis(1);
        mMirror.start();
        int told = 0;
        while (!mMirror.isHeldBack()) {
            mStore.write("config/" + told, "1");
            mStore.tell("config/" + told);
            told++;
        }
        int watches = mStore.watchedFrom().size();
        mStore.write("config/urgent", "1");
        assertEquals(watches, mStore.watchedFrom().size());
        mMirror.watchNow();
        assertEquals(watches + 1, mStore.watchedFrom().size());
        assertFalse(mMirror.isHeldBack());
    }
}
