package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against slots that stay free while items are late, and against online requests that wait
 * longer than their latency objective bears.
 */
class BatchBacklogTest {
    private static final long OBJECTIVE_NANOS = ms(300);
    private static final BatchBacklog NONE = new BatchBacklog(64, 64);
    private static final BatchBacklog BACKLOG = new BatchBacklog(65, 64);

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void requestPreemptsAtOnceWithoutABacklog() {
        assertFalse(NONE.letsRequestsWait(0, 0, OBJECTIVE_NANOS));
        assertEquals(1, NONE.reservedSlots(0, OBJECTIVE_NANOS));
    }

    @Test
    void requestWaitsForASlotOnlyWithinAThirdOfItsObjective() {
        assertTrue(BACKLOG.letsRequestsWait(0, ms(90), OBJECTIVE_NANOS));
        assertFalse(BACKLOG.letsRequestsWait(0, ms(110), OBJECTIVE_NANOS));
        assertFalse(BACKLOG.letsRequestsWait(ms(60), ms(50), OBJECTIVE_NANOS));
    }

    @Test
    void itemsGetAllSlotsWhileOnlineRequestsEndOften() {
        assertEquals(0, BACKLOG.reservedSlots(ms(90), OBJECTIVE_NANOS));
        assertEquals(1, BACKLOG.reservedSlots(ms(110), OBJECTIVE_NANOS));
    }

    @Test
    void slotsAreKeptWhenNoOnlineRequestCanLeaveOne() {
        assertEquals(1, BACKLOG.reservedSlots(Double.POSITIVE_INFINITY, OBJECTIVE_NANOS));
        assertFalse(BACKLOG.letsRequestsWait(0, Double.POSITIVE_INFINITY, OBJECTIVE_NANOS));
    }
}
