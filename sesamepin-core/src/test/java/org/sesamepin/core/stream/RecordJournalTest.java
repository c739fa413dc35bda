package org.sesamepin.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.TargetSoftware;

/** Tests which records are written, when, and what a write without an answer changes. */
class RecordJournalTest {
    private static final long BUCKET = 1_000;
    private static final long RETENTION = 10_000;
    private static final TargetSoftware V1 = new TargetSoftware("s", "v1");
    private static final TargetSoftware V2 = new TargetSoftware("s", "v2");
    private static final StreamRecord A = new StreamRecord(1, V1);
    private static final StreamRecord B = new StreamRecord(2, V2);
    private static final StreamRecord C = new StreamRecord(3, V2);

    private final RecordJournal mJournal = new RecordJournal(n -> "b" + n, BUCKET);

    private RecordJournal.Write next(long now) {
        return Objects.requireNonNull(mJournal.next(now, RETENTION));
    }

    @Test
    void groupsRecordsInABucketUntilItIsOld() {
        mJournal.add(A);
        assertEquals(new RecordJournal.Write("b1", List.of(A), List.of()), next(0));
        mJournal.onStored();
        mJournal.add(B);
        assertEquals(new RecordJournal.Write("b1", List.of(A, B), List.of()), next(500));
        mJournal.onStored();
        mJournal.add(C);
        assertEquals(new RecordJournal.Write("b2", List.of(C), List.of()), next(1_500));
    }

    @Test
    void hasOneWriteInFlightAndWaitsBetweenTwo() {
        assertEquals(-1, mJournal.delayNanos(0, 50, 50));
        mJournal.add(A);
        assertEquals(0, mJournal.delayNanos(0, 50, 50));
        assertNotNull(mJournal.next(0, RETENTION));
        mJournal.add(B);
        assertNull(mJournal.next(100, RETENTION));
        assertEquals(-1, mJournal.delayNanos(100, 50, 50));
        mJournal.onStored();
        assertEquals(30, mJournal.delayNanos(20, 50, 50));
        assertEquals(0, mJournal.delayNanos(50, 50, 50));
    }

    @Test
    void recordsThatAFirstEventWaitsForAreWrittenSooner() {
        mJournal.add(A);
        next(0);
        mJournal.onStored();
        mJournal.add(B);
        assertEquals(50, mJournal.delayNanos(0, 50, 20));
        mJournal.addAwaited(C);
        assertEquals(20, mJournal.delayNanos(0, 50, 20));
        next(20);
        assertTrue(mJournal.isPending(C.key()));
        mJournal.onStored();
        assertFalse(mJournal.isPending(C.key()));
        mJournal.add(A);
        assertEquals(50, mJournal.delayNanos(20, 50, 20));
    }

    /** Guards against records that stay, or are lost, when the calls that wait for them end. */
    @Test
    void recordIsWithdrawnUnlessItIsNeededWithoutTheWait() {
        mJournal.addAwaited(A);
        mJournal.add(B);
        StreamRecord moved = new StreamRecord(C.key(), V1);
        mJournal.addAwaited(C);
        mJournal.add(moved);
        mJournal.withdraw(A.key());
        mJournal.withdraw(B.key());
        mJournal.withdraw(C.key());
        assertEquals(List.of(B, moved), next(0).records());
    }

    /** Guards against first events that wait for good for a store whose answers are slow. */
    @Test
    void lateAnswerConfirmsTheRecordsOfItsWrite() {
        mJournal.addAwaited(A);
        RecordJournal.Write write = next(0);
        mJournal.onFailed(10);
        assertTrue(mJournal.isPending(A.key()));
        mJournal.onStoredLate(write);
        assertFalse(mJournal.isPending(A.key()));
        assertEquals(0, mJournal.pending());
    }

    /** A write that the store carries out late must not take back records written since. */
    @Test
    void neverWritesABucketAgainAfterAWriteOfUnknownOutcome() {
        mJournal.add(A);
        String first = next(0).bucket();
        mJournal.onFailed(10);
        assertEquals(1, mJournal.pending());
        mJournal.add(B);
        RecordJournal.Write second = next(20);
        assertNotEquals(first, second.bucket());
        assertEquals(List.of(A, B), second.records());
        mJournal.onStored();
        assertEquals(0, mJournal.pending());
    }

    @Test
    void removesOldBucketsAndRepeatsARemovalWithoutAnAnswer() {
        mJournal.add(A);
        next(0);
        mJournal.onStored();
        assertNull(mJournal.next(RETENTION - 1, RETENTION));
        mJournal.add(B);
        RecordJournal.Write write = next(2 * RETENTION);
        assertEquals(List.of("b1"), write.removals());
        mJournal.onFailed(2 * RETENTION);
        assertEquals(List.of("b1"), next(2 * RETENTION + 1).removals());
        mJournal.onStored();
        assertNull(mJournal.next(4 * RETENTION, RETENTION), "removed with the next records");
        RecordJournal.Write last = next(6 * RETENTION);
        assertNull(last.bucket());
        assertEquals(List.of("b2", "b3"), last.removals());
        mJournal.onStored();
        assertNull(mJournal.next(90 * RETENTION, RETENTION));
    }

    @Test
    void splitsManyRecordsIntoSeveralWrites() {
        for (int i = 0; i < 9_000; i++) {
            mJournal.add(new StreamRecord(i, V1));
        }
        int written = 0;
        for (int i = 0; mJournal.pending() > 0; i++) {
            written += next(i).records().size();
            mJournal.onStored();
            assertTrue(i < 5);
        }
        assertEquals(9_000, written);
    }
}
