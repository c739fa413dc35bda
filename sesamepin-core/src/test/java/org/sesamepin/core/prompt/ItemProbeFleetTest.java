package org.sesamepin.core.prompt;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays random histories of hosts that hold items back; see {@link ProbeFleet}. */
class ItemProbeFleetTest {
    private static final long SEEDS = 200;

    /** Time after the last request in which open items have to end. */
    private static final long FINISH_MS = TimeUnit.SECONDS.toMillis(18);

    /** Probes with requests that a part which ends its targets may have in a window. */
    private static final int MAX_REQUESTS = 3;

    private static final long BOUND_WINDOW_MS = TimeUnit.SECONDS.toMillis(90);

    /** The same with items, which are owed and never wait longer than this. */
    private static final int MAX_ITEMS = (int) (BOUND_WINDOW_MS / ProbeSchedule.MAX_WAIT_MS) + 1;

    private static final long LAST_OUTAGE_MS = ProbeFleet.FAULTS_MS + ProbeFleet.OUTAGE_MS;

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private static ProbeFleet play(
            long seed, ProbeFleet.Work work, boolean outages, long firstAheadMs) {
        ProbeFleet fleet = new ProbeFleet(seed, work, outages, firstAheadMs);
        fleet.play();
        return fleet;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    @DisplayName("sound items are sent within the longest wait after the last fault")
    void soundItemsAreSentWithinTheLongestWait(long seed) {
        ProbeFleet fleet = play(seed, ProbeFleet.Work.SOUND_ITEMS, false, 0);
        long boundMs =
                ProbeFleet.FAULTS_MS
                        + ProbeSchedule.MAX_WAIT_MS
                        + ProbeFleet.RUN_MS
                        + 2 * ProbeFleet.STEP_MS;
        assertLiftedBy(boundMs, fleet);
    }

    /** Guards against a long wait after the faults, since probes that were lost count as bad. */
    @ParameterizedTest
    @MethodSource("seeds")
    void soundItemsAreSentInTimeAfterTheLastFault(long seed) {
        ProbeFleet fleet = play(seed, ProbeFleet.Work.SOUND_ITEMS, true, 0);
        assertLiftedBy(ProbeFleet.FAULTS_MS + FINISH_MS, fleet);
    }

    private static void assertLiftedBy(long boundMs, ProbeFleet fleet) {
        long liftedMs = fleet.liftedMs();
        assertTrue(
                liftedMs >= 0 && liftedMs <= boundMs,
                "lifted at " + liftedMs + " ms, sent at " + fleet.sentMs());
    }

    @ParameterizedTest
    @MethodSource("seeds")
    @DisplayName("requests with a part that ends targets end few of them, whichever host has them")
    void requestsWithABadPartEndFewTargets(long seed) {
        assertFewSent(play(seed, ProbeFleet.Work.BAD_REQUESTS, false, 0).sentMs(), MAX_REQUESTS);
    }

    /** Guards against a host that claims each probe at once, since its clock is ahead. */
    @ParameterizedTest
    @MethodSource("seeds")
    void aHostWithAFastClockEndsNoMoreTargets(long seed) {
        long aheadMs = TimeUnit.MINUTES.toMillis(5);
        ProbeFleet fleet = play(seed, ProbeFleet.Work.BAD_REQUESTS, false, aheadMs);
        assertFewSent(fleet.sentMs(), MAX_REQUESTS);
    }

    /** Guards against items that end a target more often than their own time asks for. */
    @ParameterizedTest
    @MethodSource("seeds")
    void itemsWithABadPartEndOneTargetAtATime(long seed) {
        assertFewSent(play(seed, ProbeFleet.Work.BAD_ITEMS, false, 0).sentMs(), MAX_ITEMS);
    }

    private static void assertFewSent(List<Long> sentMs, int most) {
        for (long from : sentMs) {
            long sent =
                    sentMs.stream()
                            .filter(at -> at >= from)
                            .filter(at -> at < from + BOUND_WINDOW_MS)
                            .count();
            assertTrue(sent <= most, sent + " probes from " + from + " ms: " + sentMs);
        }
        assertTrue(sentMs.size() >= 2, "probes were sent: " + sentMs);
    }

    /** Guards against a part that ends targets without bound while others end for another cause. */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestsWithABadPartEndOneTargetAtATimeWhileOthersEnd(long seed) {
        List<Long> sentMs = play(seed, ProbeFleet.Work.BAD_REQUESTS, true, 0).sentMs();
        assertOneAtATime(sentMs);
        assertFewSent(sentMs.stream().filter(at -> at > LAST_OUTAGE_MS).toList(), MAX_REQUESTS);
    }

    /** The same for items, which are owed. */
    @ParameterizedTest
    @MethodSource("seeds")
    void itemsWithABadPartEndOneTargetAtATimeWhileOthersEnd(long seed) {
        List<Long> sentMs = play(seed, ProbeFleet.Work.BAD_ITEMS, true, 0).sentMs();
        assertOneAtATime(sentMs);
        assertFewSent(sentMs.stream().filter(at -> at > LAST_OUTAGE_MS).toList(), MAX_ITEMS);
    }

    private static void assertOneAtATime(List<Long> sentMs) {
        long during = sentMs.stream().filter(at -> at <= LAST_OUTAGE_MS).count();
        assertTrue(during <= LAST_OUTAGE_MS / ProbeSchedule.OUTCOME_MS, "sent at " + sentMs);
    }
}
