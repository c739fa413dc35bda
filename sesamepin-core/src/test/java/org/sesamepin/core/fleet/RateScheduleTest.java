package org.sesamepin.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamepin.core.bundle.Customer;

/**
 * Runs seeded schedules of the simulated fleet. A fault, alone or together with a second one, must
 * not make hosts spend the same share of a rate twice: all hosts together admit at most rate * t +
 * burst requests of a customer in any window. {@code -Dschedules=N} runs more schedules.
 */
class RateScheduleTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int SCHEDULES_PER_FAULT = Integer.getInteger("schedules", 12);
    private static final int HOSTS = 4;

    private static final List<Customer> CUSTOMERS =
            List.of(
                    new Customer("steady", 40, 10, 0, 1),
                    new Customer("bursty", 10, 60, 0, 1),
                    new Customer("small", 2, 3, 0, 1));

    @ParameterizedTest
    @EnumSource(FleetFault.class)
    void neverAdmitsMoreThanRateAndBurstUnderOneFault(FleetFault fault) {
        for (int seed = 0; seed < SCHEDULES_PER_FAULT; seed++) {
            checkSchedule(seed, List.of(fault));
        }
    }

    @ParameterizedTest
    @EnumSource(FleetFault.class)
    void neverAdmitsMoreThanRateAndBurstUnderTwoFaults(FleetFault first) {
        for (FleetFault second : FleetFault.values()) {
            for (int seed = 0; seed < Math.max(1, SCHEDULES_PER_FAULT / 4); seed++) {
                checkSchedule(1_000 + seed, List.of(first, second));
            }
        }
    }

    @Test
    void admitsTheFullRateAgainAfterAHostDied() {
        FleetSimulation fleet = fleetUnderLoad(7, 3.0);
        fleet.schedule(20 * SECOND, () -> fleet.kill("host-1"));
        fleet.runUntil(35 * SECOND);
        fleet.startMeasuring();
        fleet.runUntil(45 * SECOND);
        assertFalse(fleet.isInvariantBroken());
        assertTrue(
                fleet.admitted() >= 0.97 * fleet.idealAdmitted(),
                () -> "admitted " + fleet.admitted() + " of " + fleet.idealAdmitted());
    }

    @Test
    void admitsTheFullRateThroughALongStoreOutage() {
        FleetSimulation fleet = fleetUnderLoad(8, 3.0);
        fleet.schedule(15 * SECOND, () -> fleet.setStoreDown(true));
        fleet.runUntil(30 * SECOND);
        fleet.startMeasuring();
        fleet.runUntil(60 * SECOND);
        assertFalse(fleet.isInvariantBroken());
        assertTrue(
                fleet.admitted() >= 0.97 * fleet.idealAdmitted(),
                () -> "admitted " + fleet.admitted() + " of " + fleet.idealAdmitted());
    }

    @Test
    void admitsTheFullRateWhenAllLeasesExpireAtOnce() {
        FleetSimulation fleet = fleetUnderLoad(9, 3.0);
        fleet.runUntil(20 * SECOND);
        fleet.expireAllLeases();
        fleet.startMeasuring();
        fleet.runUntil(32 * SECOND);
        assertFalse(fleet.isInvariantBroken());
        assertTrue(
                fleet.admitted() >= 0.97 * fleet.idealAdmitted(),
                () -> "admitted " + fleet.admitted() + " of " + fleet.idealAdmitted());
    }

    @Test
    void invariantDetectsAnOverAdmission() {
        RateInvariant invariant = new RateInvariant();
        Customer small = new Customer("small", 1, 2, 0, 1);
        assertTrue(invariant.recordAdmission(small, 1, 0));
        assertTrue(invariant.recordAdmission(small, 1, 0));
        assertFalse(invariant.recordAdmission(small, 1, SECOND / 2));
    }

    private static void checkSchedule(long seed, List<FleetFault> faults) {
        FleetSimulation fleet = fleetUnderLoad(seed, 3.0);
        for (FleetFault fault : faults) {
            fault.inject(fleet, 6 * SECOND + fleet.random().nextInt(14_000) * MS);
        }
        fleet.runUntil(45 * SECOND);
        assertFalse(
                fleet.isInvariantBroken(),
                () ->
                        "seed "
                                + seed
                                + ", faults "
                                + faults
                                + ": lowest level "
                                + fleet.lowestLevel());
    }

    /**
     * Returns a fleet under load: {@code factor} times each customer's rate, moving between hosts.
     */
    static FleetSimulation fleetUnderLoad(long seed, double factor) {
        return fleetUnderLoad(seed, factor, FleetSimulation.Mode.ADAPTIVE_BLOCK);
    }

    static FleetSimulation fleetUnderLoad(long seed, double factor, FleetSimulation.Mode mode) {
        FleetSimulation fleet = new FleetSimulation(seed, mode, HOSTS, CUSTOMERS);
        for (Customer customer : CUSTOMERS) {
            sendRequestAndScheduleNext(fleet, customer, factor);
        }
        return fleet;
    }

    private static void sendRequestAndScheduleNext(
            FleetSimulation fleet, Customer customer, double factor) {
        List<String> hosts = new ArrayList<>(fleet.hostNames());
        // Most requests go to one host, which changes every few seconds; a fifth go to any host.
        int mainHost = (int) (fleet.now() / (4 * SECOND)) % hosts.size();
        boolean toAnyHost = fleet.random().nextInt(5) == 0;
        String host = hosts.get(toAnyHost ? fleet.random().nextInt(hosts.size()) : mainHost);
        fleet.request(host, customer);
        double meanGap = SECOND / (customer.rate() * factor);
        long gap = (long) (-Math.log(1 - fleet.random().nextDouble()) * meanGap);
        // Now and then the customer pauses until its burst is available again and then sends it at
        // once. A bucket that withholds too few tokens exceeds the limit only then.
        if (fleet.random().nextInt((int) (3 * customer.burst())) == 0) {
            gap = (long) (customer.burst() / customer.rate() * SECOND * 1.2);
            scheduleBurst(fleet, customer, fleet.now() + gap);
        }
        fleet.schedule(
                fleet.now() + gap + 1, () -> sendRequestAndScheduleNext(fleet, customer, factor));
    }

    private static void scheduleBurst(FleetSimulation fleet, Customer customer, long at) {
        List<String> hosts = new ArrayList<>(fleet.hostNames());
        for (int i = 0; i < 2 * customer.burst(); i++) {
            String host = hosts.get(i % hosts.size());
            fleet.schedule(at + i * MS, () -> fleet.request(host, customer));
        }
    }
}
