package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against receipts that name a grant which is used later, so that its request is not
 * counted, and against lost grants that count for good.
 */
class ReceivedGrantsTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final ReceivedGrants.Source SOURCE = new ReceivedGrants.Source("s", 7);

    private final ReceivedGrants mReceived = new ReceivedGrants();

    private boolean record(long number, long nowMs) {
        return mReceived.record(SOURCE, number, nowMs * MS);
    }

    private GrantReceipt receiptAt(long nowMs) {
        return mReceived.receipts(nowMs * MS).getOrDefault(SOURCE, GrantReceipt.NONE);
    }

    @Test
    void namesNoNumberThatIsMissing() {
        assertTrue(record(1, 0));
        assertTrue(record(3, 1));
        assertEquals(new GrantReceipt(1, Set.of(3L)), receiptAt(2));
        assertTrue(record(2, 3));
        assertEquals(new GrantReceipt(3, Set.of()), receiptAt(4));
    }

    @Test
    void grantThatWasGivenUpIsNotUsed() {
        record(1, 0);
        record(3, 1);
        assertEquals(new GrantReceipt(1, Set.of(3L)), receiptAt(1_000));
        assertEquals(new GrantReceipt(3, Set.of()), receiptAt(1_001));
        assertFalse(record(2, 1_002));
        assertEquals(1, mReceived.givenUp());
    }

    @Test
    void grantIsNotUsedTwice() {
        record(1, 0);
        assertFalse(record(1, 1));
        record(3, 2);
        assertFalse(record(3, 3));
    }

    /** Guards against reports that grow with each coordinator that a host ever had. */
    @Test
    void receiptOfASilentCoordinatorEnds() {
        record(1, 0);
        assertEquals(1, receiptAt(5_000).upTo());
        assertEquals(Map.of(), mReceived.receipts(5_001 * MS));
    }

    /** A host that starts, or has forgotten a coordinator, has lost none of its former grants. */
    @Test
    void numbersBeforeTheFirstGrantCountAsNoLoss() {
        assertTrue(record(500, 0));
        assertEquals(new GrantReceipt(0, Set.of(500L)), receiptAt(999));
        assertEquals(new GrantReceipt(500, Set.of()), receiptAt(1_000));
        assertEquals(0, mReceived.givenUp());
    }

    /** Guards against reports that grow while a grant is missing under load. */
    @Test
    void receiptNamesABoundedNumberOfGrants() {
        record(1, 0);
        for (int number = 3; number < 1_000; number++) {
            record(number, 1);
        }
        assertTrue(receiptAt(2).beyond().size() <= 200);
    }
}
