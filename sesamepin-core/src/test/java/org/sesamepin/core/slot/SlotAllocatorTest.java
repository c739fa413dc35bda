package org.sesamepin.core.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.bundle.Preference;

/**
 * Guards the allocation of slots: overcommitted targets, unfairness among customers, and slots lost
 * with the hosts that held them.
 */
class SlotAllocatorTest {
    private static final long MS = 1_000_000L;

    private final AtomicLong mNextSlotId = new AtomicLong();
    private final SlotAllocator mAllocator =
            new SlotAllocator("self", 4, Preference.THROUGHPUT, mNextSlotId::incrementAndGet);

    private static OnlineRequest request(String id, String customer, long deadline) {
        return new OnlineRequest(id, customer, 10, "self", deadline);
    }

    private long grant(String id, String customer, long now) {
        List<SlotDecision> decisions = mAllocator.requestSlot(request(id, customer, now + MS), now);
        SlotDecision last = decisions.get(decisions.size() - 1);
        return assertInstanceOf(SlotDecision.Grant.class, last).slotId();
    }

    @Test
    void onlineRequestPreemptsNewestBatchItem() {
        long oldest = mAllocator.acquireBatchSlot(0);
        for (int i = 1; i <= 3; i++) {
            mAllocator.acquireBatchSlot(i * MS);
        }
        List<SlotDecision> decisions = mAllocator.requestSlot(request("r", "c", 100 * MS), 10 * MS);
        long victim = assertInstanceOf(SlotDecision.Preempt.class, decisions.get(0)).slotId();
        assertEquals(oldest + 3, victim);
        assertInstanceOf(SlotDecision.Grant.class, decisions.get(1));
    }

    @Test
    void neverGrantsMoreSlotsThanTheTargetHas() {
        for (int i = 0; i < 4; i++) {
            grant("r" + i, "c", 0);
        }
        assertTrue(mAllocator.requestSlot(request("r4", "c", 100 * MS), 0).isEmpty());
        assertEquals(0, mAllocator.acquireBatchSlot(0));
        assertEquals(0, mAllocator.freeForBatch(0));
    }

    @Test
    void grantsFreedSlotToCustomerWithLeastService() {
        long[] slots = new long[4];
        for (int i = 0; i < 4; i++) {
            slots[i] = grant("first" + i, "flood", 0);
        }
        for (int i = 0; i < 50; i++) {
            mAllocator.requestSlot(request("flood" + i, "flood", 900 * MS), 1);
        }
        mAllocator.requestSlot(request("small", "small", 900 * MS), 2);
        mAllocator.releaseSlot(slots[0], 3);
        SlotDecision second = mAllocator.releaseSlot(slots[1], 4).get(0);
        assertEquals(
                "small", assertInstanceOf(SlotDecision.Grant.class, second).request().customer());
    }

    @Test
    void rejectsQueuedRequestAtItsDeadline() {
        for (int i = 0; i < 4; i++) {
            grant("r" + i, "c", 0);
        }
        mAllocator.requestSlot(request("late", "c", 5 * MS), 0);
        assertInstanceOf(SlotDecision.Reject.class, mAllocator.expire(6 * MS).get(0));
    }

    @Test
    void freesSlotsOfHostThatStopsRenewing() {
        for (int i = 0; i < 4; i++) {
            mAllocator.requestSlot(new OnlineRequest("r" + i, "c", 1, "other", 10 * MS), 0);
        }
        assertEquals(0, mAllocator.freeForOnline());
        mAllocator.expire(4_000 * MS);
        assertEquals(4, mAllocator.freeForOnline());
    }

    @Test
    void latencyPreferenceKeepsPeakOfRecentBurstsFree() {
        mAllocator.configure(4, Preference.LATENCY);
        long first = grant("a", "c", 0);
        long second = grant("b", "c", 0);
        mAllocator.releaseSlot(first, MS);
        mAllocator.releaseSlot(second, MS);
        assertEquals(2, mAllocator.freeForBatch(2 * MS));
        assertEquals(4, mAllocator.freeForBatch(60_000 * MS));
    }

    @Test
    void takesOverSlotsGrantedByFormerOwner() {
        mAllocator.renewSlots("other", List.of(77L, 78L), 0);
        assertEquals(2, mAllocator.freeForOnline());
    }
}
