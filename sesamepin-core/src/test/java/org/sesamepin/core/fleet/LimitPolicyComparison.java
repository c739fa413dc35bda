package org.sesamepin.core.fleet;

import org.junit.jupiter.api.Test;

/**
 * Compares four ways to limit a rate across all hosts under the same skewed, moving load. Run with
 * {@code mvn -pl sesamepin-core test -Dtest=LimitPolicyComparison}; it prints a table and asserts
 * nothing.
 */
class LimitPolicyComparison {
    private static final long SECOND = 1_000_000_000L;
    private static final int SEEDS = 5;
    private static final double[] LOADS = {0.5, 0.8, 0.95, 3.0};

    @Test
    void comparesPolicies() {
        System.out.println(
                "| load / rate | mode | over-admitted | fewer than one shared bucket"
                        + " | messages/request |");
        System.out.println("|---|---|---|---|---|");
        for (double load : LOADS) {
            for (FleetSimulation.Mode mode : FleetSimulation.Mode.values()) {
                compare(load, mode);
            }
        }
    }

    private static void compare(double load, FleetSimulation.Mode mode) {
        long missing = 0;
        long idealAdmitted = 0;
        long offered = 0;
        long messages = 0;
        double lowestLevel = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            FleetSimulation fleet = RateScheduleTest.fleetUnderLoad(seed, load, mode);
            fleet.setLoss(0);
            fleet.runUntil(30 * SECOND);
            fleet.startMeasuring();
            fleet.runUntil(90 * SECOND);
            missing += Math.max(0, fleet.idealAdmitted() - fleet.admitted());
            idealAdmitted += fleet.idealAdmitted();
            offered += fleet.offered();
            messages += fleet.messages();
            lowestLevel = Math.min(lowestLevel, fleet.lowestLevel());
        }
        System.out.printf(
                "| %.2f | %s | %.1f | %.2f%% | %.2f |%n",
                load,
                mode,
                Math.max(0, -lowestLevel),
                100.0 * missing / idealAdmitted,
                (double) messages / offered);
    }
}
