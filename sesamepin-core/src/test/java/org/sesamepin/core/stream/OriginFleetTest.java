package org.sesamepin.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

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

    private static OriginCounts runAll(
            double lostShare, double lateShare, boolean kill, boolean statesFirst) {
        OriginCounts sum = new OriginCounts();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = releases(random);
            List<Long> kills = kill ? kills(random) : List.of();
            FleetFaults faults =
                    new FleetFaults(lostShare, lateShare, kills, statesFirst, List.of());
            sum.add(new OriginFleet(seed, HOSTS, faults, FleetPace.FAST, targets).run(RUN_MS));
        }
        return sum;
    }

    /** Plays the releases while a host is out of step around each change of the versions. */
    private static OriginCounts runOutOfStep(List<HostOutage.Kind> kinds) {
        OriginCounts sum = new OriginCounts();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = releases(random);
            FleetFaults faults =
                    new FleetFaults(
                            0.05, 0, List.of(), true, outages(targets.keySet(), kinds, random));
            sum.add(new OriginFleet(seed, HOSTS, faults, FleetPace.FAST, targets).run(RUN_MS));
        }
        return sum;
    }

    private static List<HostOutage> outages(
            Set<Long> changes, List<HostOutage.Kind> kinds, Random random) {
        List<HostOutage> outages = new ArrayList<>();
        for (long change : changes) {
            long from = change - random.nextInt(1_000);
            long until = change + 200 + random.nextInt(random.nextBoolean() ? 1_000 : 6_000);
            HostOutage.Kind kind = kinds.get(random.nextInt(kinds.size()));
            outages.add(new HostOutage(random.nextInt(HOSTS), kind, from, until));
        }
        return outages;
    }

    /** A version goes and returns at about the time at which its statement becomes old. */
    private static OriginCounts runReturnsOfAnOldVersion(List<HostOutage.Kind> kinds) {
        OriginCounts sum = new OriginCounts();
        long keptMs = TimeUnit.NANOSECONDS.toMillis(OriginFleet.RETENTION.statementNanos());
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = new TreeMap<>();
            targets.put(0L, Set.of("v1", "v2"));
            List<HostOutage> outages = new ArrayList<>();
            long at = 0;
            for (int i = 0; i < 2; i++) {
                targets.put(at + 2_000, Set.of("v1"));
                at += 2_000 + keptMs - 4_000 + random.nextInt(5_000);
                targets.put(at, Set.of("v1", "v2"));
                outages.addAll(outages(Set.of(at), kinds, random));
            }
            FleetFaults faults = new FleetFaults(0, 0, List.of(at + 4_500), true, outages);
            sum.add(new OriginFleet(seed, HOSTS, faults, FleetPace.SLOW, targets).run(at + 12_000));
        }
        return sum;
    }

    private static String describe(OriginCounts counts) {
        return ("begun %d, taken up %d, joined %d, unknown %d, refused %d,"
                        + " writes %d, reads %d, removals %d, %s")
                .formatted(
                        counts.mBegun,
                        counts.mTakenUp,
                        counts.mJoined,
                        counts.mUnknown,
                        counts.mRefused,
                        counts.mWrites,
                        counts.mReads,
                        counts.mRemovals,
                        counts.mSources);
    }

    private static void check(OriginCounts counts) {
        String text = describe(counts);
        assertTrue(counts.mTakenUp > SEEDS * 100, text);
        assertEquals(0, counts.mJoined, text);
        assertEquals(0, counts.mUnknown, text);
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

    /** Guards against a stream joined at a host that was out of step while a version joined. */
    @ParameterizedTest
    @EnumSource
    void hostIsOutOfStepWhileVersionsJoin(HostOutage.Kind kind) {
        check(runOutOfStep(List.of(kind)));
    }

    /**
     * Guards against a host that removes the statement of a version that it does not see return.
     */
    @ParameterizedTest
    @EnumSource
    void hostIsOutOfStepWhileAVersionReturns(HostOutage.Kind kind) {
        OriginCounts counts = runReturnsOfAnOldVersion(List.of(kind));
        assertEquals(0, counts.mJoined, describe(counts));
        assertEquals(0, counts.mUnknown, describe(counts));
        assertTrue(counts.mRemovals > 0, describe(counts));
    }

    /** Hosts stand still, or are gone, from shortly before a second version joins. */
    private static OriginCounts runStandsStill(int hosts, long forMs, boolean goesAgain) {
        OriginCounts sum = new OriginCounts();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = new TreeMap<>();
            targets.put(0L, Set.of("v1"));
            long joinsAt = 4_000 + random.nextInt(1_000);
            targets.put(joinsAt, Set.of("v1", "v2"));
            if (goesAgain) {
                targets.put(joinsAt + 800, Set.of("v1"));
                targets.put(joinsAt + 1_600, Set.of("v1", "v2", "v3"));
            }
            List<HostOutage> outages = new ArrayList<>();
            for (int host = 0; host < hosts; host++) {
                long from = joinsAt - random.nextInt(800);
                outages.add(new HostOutage(host, HostOutage.Kind.PAUSED, from, from + forMs));
            }
            FleetFaults faults = new FleetFaults(0, 0, List.of(), true, outages);
            sum.add(new OriginFleet(seed, HOSTS, faults, FleetPace.FAST, targets).run(RUN_MS));
        }
        return sum;
    }

    /**
     * Guards against streams that every other host refuses, since theirs stands still, or has lost
     * power for good, while a second version joins.
     */
    @ParameterizedTest
    @CsvSource({"1,3000", "1,20000", "2,3000", "2,20000"})
    void streamsOfHostsThatStandStillGoOnWhileAVersionJoins(int hosts, long forMs) {
        for (boolean goesAgain : new boolean[] {false, true}) {
            OriginCounts counts = runStandsStill(hosts, forMs, goesAgain);
            assertTrue(counts.mTakenUp > SEEDS * 100, describe(counts));
            assertEquals(0, counts.mJoined, describe(counts));
            assertEquals(0, counts.mUnknown, describe(counts));
            assertEquals(0, counts.unrecorded(), describe(counts));
        }
    }

    /** The fault that the statements prevent must show when they are left out, and only then. */
    @Test
    void streamsAreJoinedUnlessVersionsAreStatedFirst() {
        OriginCounts counts = runAll(0.2, 0.6, true, true);
        assertEquals(0, counts.mJoined, describe(counts));
        OriginCounts unstated = runAll(0.2, 0.6, true, false);
        assertTrue(unstated.mJoined > 0, describe(unstated));
    }
}
