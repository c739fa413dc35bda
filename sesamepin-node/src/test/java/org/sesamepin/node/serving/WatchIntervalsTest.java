package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against watch calls that grow with hosts times changes, and against late changes. */
class WatchIntervalsTest {
    private static final int LARGE_FLEET = 350;

    @Test
    void callsOfAllHostsStayBelowTheLimitUntilTheIntervalIsLongest() {
        for (int hosts = 1; hosts <= LARGE_FLEET; hosts++) {
            int count = hosts;
            WatchIntervals intervals = new WatchIntervals(() -> count);
            assertTrue(intervals.targetsMs() <= 1_000, "targets, hosts " + hosts);
            assertTrue(intervals.controlMs() <= 3_000, "control, hosts " + hosts);
        }
        assertEquals(1_000, new WatchIntervals(() -> 64).targetsMs());
    }

    @Test
    void smallFleetsReadChangesOfTargetsNearlyAtOnce() {
        assertEquals(125, new WatchIntervals(() -> 8).targetsMs());
    }
}
