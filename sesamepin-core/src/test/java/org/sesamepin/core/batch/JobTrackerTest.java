package org.sesamepin.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards the state of items: a result that counts twice, a lease that never expires, and a poison
 * item that brings down one target after another or makes an innocent item fail.
 */
class JobTrackerTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void countsEachResultOnce() {
        JobTracker tracker = new JobTracker(2, new BitSet());
        tracker.lease("a", 2, 0);
        assertTrue(tracker.complete(0));
        assertFalse(tracker.complete(0));
        assertTrue(tracker.complete(1));
        assertTrue(tracker.isFinished());
    }

    @Test
    void acceptsLateResultWhileItemIsOpen() {
        JobTracker tracker = new JobTracker(1, new BitSet());
        tracker.lease("a", 1, 0);
        assertEquals(1, tracker.expireLeases(4 * SECOND));
        assertTrue(tracker.complete(0));
        assertEquals(List.of(), tracker.lease("b", 1, 5 * SECOND));
    }

    @Test
    void expiresLeasesThatAreNotRenewed() {
        JobTracker tracker = new JobTracker(2, new BitSet());
        tracker.lease("a", 2, 0);
        tracker.renewLeases("a", List.of(0), 2 * SECOND);
        assertEquals(1, tracker.expireLeases(4 * SECOND));
        assertEquals(List.of(1), tracker.lease("b", 2, 4 * SECOND));
    }

    @Test
    void leasesOnlyItemsThatAreNotFinal() {
        BitSet finalItems = new BitSet();
        finalItems.set(1);
        JobTracker tracker = new JobTracker(3, finalItems);
        assertEquals(List.of(0, 2), tracker.lease("a", 9, 0));
    }

    @Test
    void failsOnlyThePoisonItem() {
        Random random = new Random(3);
        JobTracker tracker = new JobTracker(20, new BitSet());
        int poisonItem = 13;
        int failedItem = -1;
        for (int round = 0; round < 200 && !tracker.isFinished(); round++) {
            List<Integer> running = tracker.lease("a", 1 + random.nextInt(4), 0);
            boolean targetFails = running.contains(poisonItem);
            for (int item : running) {
                if (!targetFails) {
                    tracker.complete(item);
                } else if (tracker.recordTargetFailure(item)) {
                    assertEquals(-1, failedItem, "a second item was failed: " + item);
                    failedItem = item;
                    tracker.complete(item);
                }
            }
        }
        assertTrue(tracker.isFinished());
        assertEquals(poisonItem, failedItem);
    }

    @Test
    void doesNotCountPreemptionAsTargetFailure() {
        JobTracker tracker = new JobTracker(1, new BitSet());
        for (int i = 0; i < 50; i++) {
            tracker.lease("a", 1, 0);
            tracker.reopen(0);
        }
        tracker.lease("a", 1, 0);
        assertFalse(tracker.recordTargetFailure(0));
    }
}
