package org.sesamepin.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests over seeds that no stream goes on at another version than its own, and that at least half
 * go on, while versions come and go, all hosts are killed, and the store loses answers or carries
 * out writes late.
 */
class OriginFleetTest {
    private static final int SEEDS = Integer.getInteger("schedules", 12);
    private static final int HOSTS = 4;
    private static final long RUN_MS = 14_000;

    /** Versions that come and go: one, two and three at once, forward and back. */
    private static TreeMap<Long, Set<String>> releases(Random random) {
        TreeMap<Long, Set<String>> targets = new TreeMap<>();
        targets.put(0L, Set.of("v1"));
        long first = 1_000 + random.nextInt(1_000);
        targets.put(first, Set.of("v1", "v1.1"));
        targets.put(first + 200 + random.nextInt(2_500), Set.of("v1.1"));
        targets.put(6_000L + random.nextInt(500), Set.of("v1.1", "v1.2", "v1"));
        targets.put(8_000L + random.nextInt(1_500), Set.of("v1"));
        targets.put(10_500L + random.nextInt(500), Set.of("v2"));
        return targets;
    }

    private static List<Long> kills(Random random) {
        List<Long> kills = new ArrayList<>();
        kills.add(1_000L + random.nextInt(3_500));
        kills.add(6_000L + random.nextInt(2_500));
        kills.add(10_000L + random.nextInt(1_500));
        return kills;
    }

    private static OriginFleet.Counts runAll(
            double lostShare, double lateShare, boolean kill, boolean statesFirst) {
        OriginFleet.Counts sum = new OriginFleet.Counts();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = releases(random);
            List<Long> kills = kill ? kills(random) : List.of();
            OriginFleet.Faults faults =
                    new OriginFleet.Faults(lostShare, lateShare, kills, statesFirst);
            OriginFleet.Counts counts = new OriginFleet(seed, HOSTS, faults, targets).run(RUN_MS);
            sum.mBegun += counts.mBegun;
            sum.mTakenUp += counts.mTakenUp;
            sum.mJoined += counts.mJoined;
            sum.mRefused += counts.mRefused;
            sum.mWrites += counts.mWrites;
            sum.mReads += counts.mReads;
            counts.mSources.forEach((s, n) -> sum.mSources.merge(s, n, Integer::sum));
        }
        return sum;
    }

    private static String describe(OriginFleet.Counts counts) {
        return "begun %d, taken up %d, joined %d, refused %d, writes %d, reads %d, %s"
                .formatted(
                        counts.mBegun,
                        counts.mTakenUp,
                        counts.mJoined,
                        counts.mRefused,
                        counts.mWrites,
                        counts.mReads,
                        counts.mSources);
    }

    private static void check(OriginFleet.Counts counts) {
        String text = describe(counts);
        assertTrue(counts.mTakenUp > SEEDS * 100, text);
        assertEquals(0, counts.mJoined, text);
        assertTrue(2 * counts.mRefused <= counts.mTakenUp, text);
    }

    @Test
    void releasesWithoutAKill() {
        check(runAll(0, 0, false, true));
    }

    @Test
    void allHostsAreKilledDuringReleases() {
        check(runAll(0, 0, true, true));
    }

    @Test
    void storeLosesAnswersMeanwhile() {
        check(runAll(0.3, 0, true, true));
    }

    @Test
    void storeCarriesOutWritesLate() {
        check(runAll(0.1, 0.2, true, true));
    }

    /** The fault that the statements prevent must show when they are left out, and only then. */
    @Test
    void streamsAreJoinedUnlessVersionsAreStatedFirst() {
        OriginFleet.Counts counts = runAll(0.2, 0.6, true, true);
        assertEquals(0, counts.mJoined, describe(counts));
        OriginFleet.Counts unstated = runAll(0.2, 0.6, true, false);
        assertTrue(unstated.mJoined > 0, describe(unstated));
    }
}
