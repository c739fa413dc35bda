package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.serving.ServiceSpec;

/**
 * Plays bursts at cold targets, on a virtual clock. A target that gets well more requests than it
 * tolerates while it is cold crashes.
 */
class ColdTargetLoadTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long COLD_MS = 15_000;
    private static final long MARGIN_MS = 1_000;
    private static final long STEP_MS = 5;
    private static final long RUN_MS = 40;
    private static final int MAX_DELAY_MS = 60;
    private static final int SLOTS = 8;
    private static final int WINDOW_MS = 1_000;
    private static final double MAX_OVERAGE = 1.5;
    private static final int SLACK = 5;

    private final List<TargetInstance> mTargets = new ArrayList<>();
    private final Map<String, List<Long>> mArrivalsMs = new HashMap<>();
    private final List<TargetRateLimits> mLimits = new ArrayList<>();
    private final List<ColdTargets> mCold = new ArrayList<>();
    private final List<ServiceCoordinator> mCoordinators = new ArrayList<>();
    private long mItemIntervalMs = STEP_MS;
    private int mItems;

    private record Run(int coordinator, String target, boolean batch, long endsAtMs) {}

    private final List<Run> mRuns = new ArrayList<>();

    private static TargetInstance target(String id, long leftMs) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance(id, 1, "s", "v1", address, "a", SLOTS, TargetState.READY, leftMs);
    }

    private void addCoordinators(int count, double coldPerS) {
        for (int i = 0; i < count; i++) {
            ColdTargets cold =
                    new ColdTargets(name -> new ServiceSpec(name, SLOTS, COLD_MS, coldPerS));
            TargetRateLimits limits = new TargetRateLimits(cold);
            mCold.add(cold);
            mLimits.add(limits);
            mCoordinators.add(new ServiceCoordinator(limits, new TargetPaces()));
        }
    }

    private void addTargets(int cold, int warm) {
        for (int i = 0; i < cold + warm; i++) {
            TargetInstance target = target("t" + i, i < cold ? COLD_MS : 0);
            mTargets.add(target);
            mCold.forEach(known -> known.recordStated(target, target.warmUpMs(), 0));
        }
    }

    /** Sends bursts of {@code burst} requests every 400 ms through all coordinators in turn. */
    private void play(long playedMs, int burst, int waitingItems, Random random) {
        int sent = 0;
        for (long ms = 0; ms < playedMs; ms += STEP_MS) {
            long nowMs = ms;
            mRuns.removeIf(run -> run.endsAtMs() <= nowMs);
            mCold.forEach(cold -> cold.removeWarm(nowMs * MS));
            for (int c = 0; c < mCoordinators.size(); c++) {
                report(c, ms % mItemIntervalMs == 0 ? waitingItems : 0, ms);
                for (ServiceCoordinator.Grant grant :
                        mCoordinators.get(c).placeWaiting(mTargets, ms * MS)) {
                    start(c, grant, ms, random);
                }
            }
            int arriving = ms % 400 == 0 ? burst : 0;
            for (int i = 0; i < arriving; i++) {
                int c = sent++ % mCoordinators.size();
                ServiceCoordinator.Grant grant = request(c, "r" + sent, ms);
                if (grant != null) {
                    start(c, grant, ms, random);
                }
            }
        }
    }

    private ServiceCoordinator.@Nullable Grant request(int coordinator, String id, long ms) {
        return mCoordinators
                .get(coordinator)
                .requestPlacement(
                        new ServiceCoordinator.Request(
                                id,
                                "h" + coordinator,
                                0,
                                false,
                                300 * MS,
                                (ms + 5_000) * MS,
                                Set.of(),
                                null),
                        mTargets,
                        ms * MS)
                .grant();
    }

    private void report(int coordinator, int waitingItems, long ms) {
        Map<String, Integer> online = new HashMap<>();
        Map<String, Integer> batch = new HashMap<>();
        for (Run run : mRuns) {
            if (run.coordinator() == coordinator) {
                (run.batch() ? batch : online).merge(run.target(), 1, Integer::sum);
            }
        }
        String host = "h" + coordinator;
        mCoordinators
                .get(coordinator)
                .recordReport(
                        new ServiceCoordinator.HostStatus(
                                host, online, batch, Set.of(), Map.of(), waitingItems, 0, null),
                        ms * MS);
    }

    private void start(int coordinator, ServiceCoordinator.Grant grant, long ms, Random random) {
        boolean batch = grant.requestId().isEmpty();
        String target = grant.target().incarnation();
        long arrivalMs = ms + random.nextInt(MAX_DELAY_MS);
        mArrivalsMs.computeIfAbsent(target, t -> new ArrayList<>()).add(arrivalMs);
        mRuns.add(new Run(coordinator, target, batch, ms + RUN_MS));
        mItems += batch ? 1 : 0;
    }

    private long mostArrivals(String target, long untilMs) {
        List<Long> arrivals = mArrivalsMs.getOrDefault(target, List.of());
        return arrivals.stream()
                .filter(from -> from + WINDOW_MS <= untilMs)
                .mapToLong(
                        from ->
                                arrivals.stream()
                                        .filter(at -> at >= from && at < from + WINDOW_MS)
                                        .count())
                .max()
                .orElse(0);
    }

    private long arrivals(String target, long untilMs) {
        return mArrivalsMs.getOrDefault(target, List.of()).stream()
                .filter(at -> at < untilMs)
                .count();
    }

    /** Guards against bursts, items, and hosts that disagree for a while who coordinates. */
    @ParameterizedTest
    @CsvSource({
        "1,1,0",
        "1,5,0",
        "1,5,80",
        "1,20,80",
        "2,1,0",
        "2,5,0",
        "2,5,80",
        "2,10,80",
        "2,20,80",
        "2,0.5,20"
    })
    void aColdTargetNeverGetsMoreThanItTolerates(int coordinators, double coldPerS, int items) {
        for (long seed = 1; seed <= 10; seed++) {
            reset();
            addCoordinators(coordinators, coldPerS);
            addTargets(3, 0);
            play(COLD_MS, 60, items, new Random(seed));
            double allowed = coldPerS * MAX_OVERAGE * WINDOW_MS / 1_000 + SLACK;
            for (TargetInstance target : mTargets) {
                long most = mostArrivals(target.incarnation(), COLD_MS);
                assertTrue(most <= allowed, "seed " + seed + ": " + most + " of " + allowed);
                long all = arrivals(target.incarnation(), COLD_MS);
                double least = 0.5 * coldPerS * COLD_MS / 1_000;
                assertTrue(all >= least, "seed " + seed + ": only " + all + " of " + least);
            }
        }
    }

    private void reset() {
        mTargets.clear();
        mArrivalsMs.clear();
        mLimits.clear();
        mCold.clear();
        mCoordinators.clear();
        mRuns.clear();
    }

    /** Requests and items that the warm targets have slots for. */
    @Test
    void warmTargetsAreUsedWhileTheyHaveSlots() {
        addCoordinators(1, 0);
        addTargets(2, 2);
        // The coordinator counts a grant for 60 ms beside the report that contains it.
        mItemIntervalMs = RUN_MS;
        play(COLD_MS, SLOTS / 2, 1, new Random(3));
        assertEquals(0, arrivals("t0@1", COLD_MS) + arrivals("t1@1", COLD_MS), "at cold targets");
        assertTrue(mItems > 0, "no item ran");
    }

    @Test
    void coldTargetsAreUsedBeyondTheWarmOnes() {
        addCoordinators(1, 0);
        addTargets(2, 2);
        play(COLD_MS, 4 * SLOTS, 0, new Random(3));
        assertTrue(arrivals("t0@1", COLD_MS) > 0, "cold targets are not used");
    }

    @Test
    void aTargetIsUsedFullyOnceItIsWarm() {
        addCoordinators(1, 1);
        addTargets(1, 0);
        play(COLD_MS + MARGIN_MS + 4_000, SLOTS, 0, new Random(5));
        long cold = arrivals("t0@1", COLD_MS + MARGIN_MS);
        long all = arrivals("t0@1", Long.MAX_VALUE);
        assertTrue(all - cold >= 10 * SLOTS - 2, (all - cold) + " when warm");
    }

    @Test
    void onlyALaterTimeCounts() {
        addCoordinators(1, 4);
        ColdTargets cold = mCold.get(0);
        assertTrue(cold.recordFound(target("t", 0), 5_000, 0));
        assertFalse(cold.recordFound(target("t", 0), 2_000, 0));
        assertFalse(cold.recordFound(target("t", 0), 5_000, 3_000 * MS));
        assertEquals(Set.of(), cold.removeWarm(8_999 * MS));
        assertTrue(cold.isCold("t@1"));
        assertEquals(Set.of("t@1"), cold.removeWarm(9_000 * MS));
        assertFalse(cold.isCold("t@1"));
    }

    /** Two hosts that lengthen each other's time would keep a target cold for good. */
    @Test
    void whatAPeerHasFoundIsNotPassedOn() {
        addCoordinators(1, 4);
        ColdTargets cold = mCold.get(0);
        assertTrue(cold.recordReported(target("t", 0), 5_000, 0));
        assertTrue(cold.isCold("t@1"));
        assertEquals(Map.of(), cold.foundLeftMs(0));
        cold.recordFound(target("t", 0), 6_000, 0);
        assertEquals(Map.of("t@1", 7_000L), cold.foundLeftMs(0));
    }

    /** A host that starts reads entries that were written long ago, when their targets started. */
    @Test
    void whatAnEntryStatesIsNotPassedOn() {
        addCoordinators(1, 4);
        ColdTargets cold = mCold.get(0);
        assertTrue(cold.recordStated(target("t", 0), 5_000, 0));
        assertTrue(cold.isCold("t@1"));
        assertEquals(Map.of(), cold.foundLeftMs(0));
    }

    /** Deployments whose configuration states nothing of it are served as before. */
    @Test
    void noTargetIsColdWhereTheServiceStatesNothing() {
        ColdTargets cold = new ColdTargets(name -> new ServiceSpec(name, SLOTS));
        cold.recordFound(target("t", 0), 5_000, 0);
        assertFalse(cold.isCold("t@1"));
        assertFalse(new TargetRateLimits(cold).isLimited("t@1"));
    }

    @Test
    void theLowerOfBothLimitsHolds() {
        addCoordinators(1, 10);
        TargetRateLimits limits = mLimits.get(0);
        mCold.get(0).recordFound(target("t", 0), 5_000, 0);
        assertEquals(7, limits.perS("t@1"), 1e-9);
        limits.observe("t@1", 3, 1);
        assertEquals(3, limits.perS("t@1"), 1e-9);
        limits.observe("t@1", 100, 2);
        assertEquals(7, limits.perS("t@1"), 1e-9);
    }
}
