package org.sesamepin.core.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.bundle.Preference;

/** Who gets a slot. */
class SlotLedgerTest {
    private static final long MS = 1_000_000L;

    private final AtomicLong mIds = new AtomicLong();
    private final SlotAllocator mLedger =
            new SlotAllocator("self", 4, Preference.THROUGHPUT, mIds::incrementAndGet);

    private static OnlineRequest request(String id, String customer, long deadline) {
        return new OnlineRequest(id, customer, 10, "self", deadline);
    }

    private long grant(String id, String customer, long now) {
        List<SlotDecision> decisions = mLedger.requestSlot(request(id, customer, now + MS), now);
        SlotDecision last = decisions.get(decisions.size() - 1);
        return assertInstanceOf(SlotDecision.Grant.class, last).slotId();
    }

    @Test
    void anOnlineRequestTakesTheSlotOfTheBatchItemThatLosesLeast() {
        long old = mLedger.acquireBatchSlot(0);
        for (int i = 1; i <= 3; i++) {
            mLedger.acquireBatchSlot(i * MS);
        }
        List<SlotDecision> decisions = mLedger.requestSlot(request("r", "c", 100 * MS), 10 * MS);
        long victim = assertInstanceOf(SlotDecision.Preempt.class, decisions.get(0)).slotId();
        assertEquals(old + 3, victim);
        assertInstanceOf(SlotDecision.Grant.class, decisions.get(1));
    }

    @Test
    void neverLetsMoreRequestsThroughThanTheTargetHasSlots() {
        for (int i = 0; i < 4; i++) {
            grant("r" + i, "c", 0);
        }
        assertTrue(mLedger.requestSlot(request("r4", "c", 100 * MS), 0).isEmpty());
        assertEquals(0, mLedger.acquireBatchSlot(0));
        assertEquals(0, mLedger.freeForBatch(0));
    }

    @Test
    void aFreedSlotGoesToTheCustomerWithTheLeastService() {
        long[] slots = new long[4];
        for (int i = 0; i < 4; i++) {
            slots[i] = grant("first" + i, "flood", 0);
        }
        for (int i = 0; i < 50; i++) {
            mLedger.requestSlot(request("flood" + i, "flood", 900 * MS), 1);
        }
        mLedger.requestSlot(request("small", "small", 900 * MS), 2);
        mLedger.releaseSlot(slots[0], 3);
        SlotDecision second = mLedger.releaseSlot(slots[1], 4).get(0);
        assertEquals(
                "small", assertInstanceOf(SlotDecision.Grant.class, second).request().customer());
    }

    @Test
    void refusesAWaitingRequestAtItsDeadline() {
        for (int i = 0; i < 4; i++) {
            grant("r" + i, "c", 0);
        }
        mLedger.requestSlot(request("late", "c", 5 * MS), 0);
        assertInstanceOf(SlotDecision.Reject.class, mLedger.expire(6 * MS).get(0));
    }

    @Test
    void forgetsTheSlotsOfAHostThatWentSilent() {
        for (int i = 0; i < 4; i++) {
            mLedger.requestSlot(new OnlineRequest("r" + i, "c", 1, "other", 10 * MS), 0);
        }
        assertEquals(0, mLedger.freeForOnline());
        mLedger.expire(4_000 * MS);
        assertEquals(4, mLedger.freeForOnline());
    }

    @Test
    void latencyPreferenceKeepsThePeakOfTheLastBurstsFree() {
        mLedger.configure(4, Preference.LATENCY);
        long first = grant("a", "c", 0);
        long second = grant("b", "c", 0);
        mLedger.releaseSlot(first, MS);
        mLedger.releaseSlot(second, MS);
        assertEquals(2, mLedger.freeForBatch(2 * MS));
        assertEquals(4, mLedger.freeForBatch(60_000 * MS));
    }

    @Test
    void takesOverSlotsThatAFormerOwnerGranted() {
        mLedger.renewSlots("other", List.of(77L, 78L), 0);
        assertEquals(2, mLedger.freeForOnline());
    }
}
