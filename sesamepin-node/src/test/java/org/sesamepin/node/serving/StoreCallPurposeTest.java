package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Guards against calls to the store that are counted for another part than the one that makes them.
 */
class StoreCallPurposeTest {
    private static StoreCallPurpose purposeOfPut(String key) {
        return StoreCallPurpose.ofWrite(new StoreTransaction().put(key, ""));
    }

    @Test
    void firstWriteTellsThePurposeOfATransaction() {
        assertEquals(StoreCallPurpose.REGISTRATION, purposeOfPut(ServingKeys.host("h")));
        assertEquals(StoreCallPurpose.JOB_CLAIM, purposeOfPut(ServingKeys.owner("j")));
        assertEquals(
                StoreCallPurpose.JOB_ACCEPTANCE,
                purposeOfPut(ServingKeys.acceptedCounter("c", "r")));
        assertEquals(StoreCallPurpose.JOB_CONTENT, purposeOfPut(ServingKeys.segment("j", 1)));
        assertEquals(
                StoreCallPurpose.JOB_CANCELLATION, purposeOfPut(ServingKeys.cancellation("j")));
        assertEquals(StoreCallPurpose.STREAMS, purposeOfPut(ServingKeys.streamRecords(1, "w", 1)));
        assertEquals(
                StoreCallPurpose.QUARANTINE,
                purposeOfPut(ServingKeys.promptQuarantinePrefix() + "x"));
    }

    @Test
    void removalOfContentIsNotCountedAsResults() {
        StoreTransaction removal =
                new StoreTransaction().ifUnchanged("x", 1).delete(ServingKeys.segment("j", 1));
        assertEquals(StoreCallPurpose.JOB_REMOVAL, StoreCallPurpose.ofWrite(removal));
    }

    @Test
    void transactionsWithoutAWriteAndForeignKeysAreOther() {
        assertEquals(StoreCallPurpose.OTHER, StoreCallPurpose.ofWrite(new StoreTransaction()));
        assertEquals(StoreCallPurpose.OTHER, purposeOfPut("status/retire/x"));
    }
}
