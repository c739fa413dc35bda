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

    private static OriginFleet.Counts runAll(
            double lostShare, double lateShare, boolean kill, boolean statesFirst) {
        OriginFleet.Counts sum = new OriginFleet.Counts();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = releases(random);
            List<Long> kills = kill ? kills(random) : List.of();
            FleetFaults faults =
                    new FleetFaults(lostShare, lateShare, kills, statesFirst, List.of());
            add(sum, new OriginFleet(seed, HOSTS, faults, FleetPace.FAST, targets).run(RUN_MS));
        }
        return sum;
    }

    private static void add(OriginFleet.Counts sum, OriginFleet.Counts counts) {
        sum.mBegun += counts.mBegun;
        sum.mTakenUp += counts.mTakenUp;
        sum.mJoined += counts.mJoined;
        sum.mRefused += counts.mRefused;
        sum.mWrites += counts.mWrites;
        sum.mReads += counts.mReads;
        sum.mRemovals += counts.mRemovals;
        sum.mUnstated += counts.mUnstated;
        counts.mSources.forEach((s, n) -> sum.mSources.merge(s, n, Integer::sum));
    }

    /** Plays the releases while a host is out of step around each change of the versions. */
    private static OriginFleet.Counts runOutOfStep(List<HostOutage.Kind> kinds) {
        OriginFleet.Counts sum = new OriginFleet.Counts();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            TreeMap<Long, Set<String>> targets = releases(random);
            FleetFaults faults =
                    new FleetFaults(
                            0.05, 0, List.of(), true, outages(targets.keySet(), kinds, random));
            add(sum, new OriginFleet(seed, HOSTS, faults, FleetPace.FAST, targets).run(RUN_MS));
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
    private static OriginFleet.Counts runReturnsOfAnOldVersion(List<HostOutage.Kind> kinds) {
        OriginFleet.Counts sum = new OriginFleet.Counts();
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
            add(
                    sum,
                    new OriginFleet(seed, HOSTS, faults, FleetPace.SLOW, targets).run(at + 12_000));
        }
        return sum;
    }

    private static String describe(OriginFleet.Counts counts) {
        return ("begun %d, taken up %d, joined %d, unstated %d, refused %d,"
                        + " writes %d, reads %d, removals %d, %s")
                .formatted(
                        counts.mBegun,
                        counts.mTakenUp,
                        counts.mJoined,
                        counts.mUnstated,
                        counts.mRefused,
                        counts.mWrites,
                        counts.mReads,
                        counts.mRemovals,
                        counts.mSources);
    }

    private static void check(OriginFleet.Counts counts) {
        String text = describe(counts);
        assertTrue(counts.mTakenUp > SEEDS * 100, text);
        assertEquals(0, counts.mJoined, text);
        assertEquals(0, counts.mUnstated, text);
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
        OriginFleet.Counts counts = runReturnsOfAnOldVersion(List.of(kind));
        assertEquals(0, counts.mJoined, describe(counts));
        assertEquals(0, counts.mUnstated, describe(counts));
        assertTrue(counts.mRemovals > 0, describe(counts));
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
