package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/**
 * Tests the rate groups of 67 hosts with 82 customers on a virtual clock: no request inside the
 * rate is refused on a quiet day, and no fault lets the hosts together exceed a rate.
 */
class RateFleetTest {
    private static final long SECOND = RateWorkload.SECOND;
    private static final long WINDOW = 5 * SECOND;
    private static final int SEEDS = 20;
    private static final double MAX_EXCESS = 0.1;
    private static final double OVERLOAD = 7.5;

    /** Guards against refusals inside the rate, and against more than one message a request. */
    @Test
    void quietDayRefusesNothingInsideTheRate() {
        long from = 2 * SECOND;
        long end = 62 * SECOND;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RateFleet fleet = new RateFleet(random);
            List<RateWorkload.Arrival> arrivals =
                    RateWorkload.insideRate(RateWorkload.arrivals(0.45, from, end, random), from);
            fleet.play(arrivals, end + SECOND);
            assertEquals(0, fleet.refused(), "seed " + seed + " of " + arrivals.size());
            assertEquals(arrivals.size(), fleet.answered(), "seed " + seed);
            assertTrue(fleet.admitMessages() <= fleet.answered(), "seed " + seed);
            assertTrue(
                    fleet.delegationMessages() <= 11 * 2.5 * 64 + 11 * 10 * 2,
                    "seed " + seed + ": " + fleet.delegationMessages());
        }
    }

    private static void checkOverload(String fault, BiConsumer<RateFleet, Random> inject) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RateFleet fleet = new RateFleet(random);
            inject.accept(fleet, random);
            List<RateWorkload.Arrival> arrivals =
                    RateWorkload.arrivals(OVERLOAD, SECOND, 20 * SECOND, random);
            fleet.play(arrivals, 21 * SECOND);
            double excess = fleet.largestExcess(WINDOW);
            assertTrue(excess <= MAX_EXCESS, fault + ", seed " + seed + ": " + excess);
        }
    }

    @Test
    void overloadStaysWithinTheRate() {
        checkOverload("no fault", (fleet, random) -> {});
    }

    @Test
    void lostLeaderAndHolders() {
        checkOverload(
                "lost",
                (fleet, random) -> {
                    fleet.after(6 * SECOND, () -> fleet.lose(fleet.holders().get(0)));
                    fleet.after(9 * SECOND, () -> fleet.lose(fleet.holders().get(4)));
                    fleet.after(9 * SECOND, () -> fleet.unregister(fleet.holders().get(0)));
                    fleet.after(12 * SECOND, () -> fleet.restart(fleet.holders().get(4)));
                });
    }

    @Test
    void leaderThatReturns() {
        checkOverload(
                "returned",
                (fleet, random) -> {
                    fleet.after(6 * SECOND, () -> fleet.lose(fleet.holders().get(0)));
                    fleet.after(10 * SECOND, () -> fleet.restart(fleet.holders().get(0)));
                });
    }

    /** A cut between two halves of the fleet makes two leaders; their shares must add up to one. */
    @Test
    void twoLeadersAtOnce() {
        checkOverload(
                "two leaders",
                (fleet, random) -> {
                    fleet.after(
                            5 * SECOND,
                            () -> fleet.cut((a, b) -> a.hashCode() % 2 != b.hashCode() % 2));
                    fleet.after(12 * SECOND, () -> fleet.cut((a, b) -> false));
                });
    }

    @Test
    void leaderCutOffFromSomeHosts() {
        checkOverload(
                "cut off",
                (fleet, random) -> {
                    String leader = fleet.holders().get(0);
                    fleet.after(
                            5 * SECOND,
                            () ->
                                    fleet.cut(
                                            (a, b) ->
                                                    (a.equals(leader) || b.equals(leader))
                                                            && (a + b).hashCode() % 2 == 0));
                    fleet.after(14 * SECOND, () -> fleet.cut((a, b) -> false));
                });
    }

    /** A leader that wakes must not admit from delegations that ended while it was paused. */
    @Test
    void pausedLeader() {
        checkOverload(
                "paused",
                (fleet, random) -> {
                    fleet.after(5 * SECOND, () -> fleet.pause(fleet.holders().get(0), 3_000));
                    fleet.after(11 * SECOND, () -> fleet.pause(fleet.holders().get(0), 900));
                    fleet.after(14 * SECOND, () -> fleet.pause(fleet.holders().get(1), 2_000));
                });
    }

    @Test
    void leaderThatIsReplacedThoughAlive() {
        checkOverload(
                "replaced",
                (fleet, random) ->
                        fleet.after(6 * SECOND, () -> fleet.unregister(fleet.holders().get(0))));
    }

    @Test
    void delayedLostAndReorderedMessages() {
        checkOverload("messages", (fleet, random) -> fleet.setMessages(0.1, 100));
    }

    @Test
    void manyFaultsAtOnce() {
        checkOverload(
                "many faults",
                (fleet, random) -> {
                    fleet.setMessages(0.03, 40);
                    for (int second = 3; second < 18; second++) {
                        String holder = fleet.holders().get(random.nextInt(5));
                        String other = fleet.holders().get(random.nextInt(5));
                        Runnable fault =
                                switch (random.nextInt(4)) {
                                    case 0 -> () -> fleet.pause(holder, 1_500);
                                    case 1 -> () -> fleet.cut((a, b) -> a.equals(holder));
                                    case 2 ->
                                            () ->
                                                    fleet.cut(
                                                            (a, b) ->
                                                                    a.equals(holder)
                                                                            && b.equals(other));
                                    default -> () -> fleet.cut((a, b) -> false);
                                };
                        fleet.after(second * SECOND + random.nextInt(900_000_000), fault);
                    }
                });
    }

    /** A planned stop must neither double the leader's tokens nor interrupt admissions. */
    @Test
    void plannedStopOfTheLeader() {
        checkOverload(
                "stopped",
                (fleet, random) ->
                        fleet.after(8 * SECOND, () -> fleet.stop(fleet.holders().get(0))));
    }

    @Test
    void plannedStopRefusesNothingInsideTheRate() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RateFleet fleet = new RateFleet(random);
            List<RateWorkload.Arrival> arrivals =
                    RateWorkload.insideRate(
                            RateWorkload.arrivals(0.45, 2 * SECOND, 20 * SECOND, random),
                            2 * SECOND);
            fleet.after(8 * SECOND, () -> fleet.stop(fleet.holders().get(0)));
            fleet.play(arrivals, 21 * SECOND);
            assertEquals(0, fleet.refused(), "seed " + seed + " of " + arrivals.size());
        }
    }

    /** The leader in between must hand over at once, not when its delegations have expired. */
    @Test
    void returnOfALeaderRefusesFewRequestsInsideTheRate() {
        int refused = 0;
        int total = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RateFleet fleet = new RateFleet(random);
            List<RateWorkload.Arrival> arrivals =
                    RateWorkload.insideRate(
                            RateWorkload.arrivals(0.45, 2 * SECOND, 20 * SECOND, random),
                            2 * SECOND);
            String leader = fleet.holders().get(0);
            int[] refusedBefore = new int[1];
            fleet.after(5 * SECOND, () -> fleet.lose(leader));
            fleet.after(
                    12 * SECOND,
                    () -> {
                        refusedBefore[0] = fleet.refused();
                        fleet.restart(leader);
                    });
            fleet.play(arrivals, 21 * SECOND);
            refused += fleet.refused() - refusedBefore[0];
            total += arrivals.size();
        }
        assertTrue(refused < total / 1_000.0, refused + " of " + total);
    }

    /** A lost leader costs its customers the time until its delegations have expired. */
    @Test
    void lostLeaderRefusesForALittleOverASecond() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RateFleet fleet = new RateFleet(random);
            List<RateWorkload.Arrival> arrivals =
                    RateWorkload.insideRate(
                            RateWorkload.arrivals(0.45, 2 * SECOND, 20 * SECOND, random),
                            2 * SECOND);
            fleet.after(8 * SECOND, () -> fleet.lose(fleet.holders().get(0)));
            fleet.play(arrivals, 21 * SECOND);
            assertTrue(
                    fleet.refused() < arrivals.size() / 10,
                    "seed " + seed + ": " + fleet.refused() + " of " + arrivals.size());
        }
    }
}
