package org.sesamepin.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Items are final once, and a poisonous one is found. */
class JobTrackerTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void countsAResultOnce() {
        JobTracker tracker = new JobTracker(2, new BitSet());
        tracker.lease("a", 2, 0);
        assertTrue(tracker.complete(0));
        assertFalse(tracker.complete(0));
        assertTrue(tracker.complete(1));
        assertTrue(tracker.isFinished());
    }

    @Test
    void aLateResultOfAnotherAttemptCountsWhileTheItemIsOpen() {
        JobTracker tracker = new JobTracker(1, new BitSet());
        tracker.lease("a", 1, 0);
        assertEquals(1, tracker.expireLeases(4 * SECOND));
        assertTrue(tracker.complete(0));
        assertEquals(List.of(), tracker.lease("b", 1, 5 * SECOND));
    }

    @Test
    void keepsRenewedLeasesOnly() {
        JobTracker tracker = new JobTracker(2, new BitSet());
        tracker.lease("a", 2, 0);
        tracker.renewLeases("a", List.of(0), 2 * SECOND);
        assertEquals(1, tracker.expireLeases(4 * SECOND));
        assertEquals(List.of(1), tracker.lease("b", 2, 4 * SECOND));
    }

    @Test
    void startsFromWhatIsDone() {
        BitSet done = new BitSet();
        done.set(1);
        JobTracker tracker = new JobTracker(3, done);
        assertEquals(List.of(0, 2), tracker.lease("a", 9, 0));
    }

    @Test
    void failsAPoisonousItemAndNoOther() {
        Random random = new Random(3);
        JobTracker tracker = new JobTracker(20, new BitSet());
        int poison = 13;
        int failed = -1;
        for (int round = 0; round < 200 && !tracker.isFinished(); round++) {
            List<Integer> running = tracker.lease("a", 1 + random.nextInt(4), 0);
            boolean dies = running.contains(poison);
            for (int item : running) {
                if (!dies) {
                    tracker.complete(item);
                } else if (tracker.recordTargetFailure(item)) {
                    assertEquals(-1, failed, "a second item was failed: " + item);
                    failed = item;
                    tracker.complete(item);
                }
            }
        }
        assertTrue(tracker.isFinished());
        assertEquals(poison, failed);
    }

    @Test
    void aPreemptedItemIsNotBlamed() {
        JobTracker tracker = new JobTracker(1, new BitSet());
        for (int i = 0; i < 50; i++) {
            tracker.lease("a", 1, 0);
            tracker.reopen(0);
        }
        tracker.lease("a", 1, 0);
        assertFalse(tracker.recordTargetFailure(0));
    }
}
