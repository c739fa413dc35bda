package org.sesamepin.core.fleet;

import org.junit.jupiter.api.Test;

/**
 * Compares four ways to hold a rate over all hosts on the same skewed, moving load. Run with {@code
 * mvn -pl sesamepin-core test -Dtest=LimitPolicyComparison}; it prints a table and asserts nothing.
 */
class LimitPolicyComparison {
    private static final long SECOND = 1_000_000_000L;
    private static final int SEEDS = 5;
    private static final double[] LOADS = {0.5, 0.8, 0.95, 3.0};

    @Test
    void comparesPolicies() {
        System.out.println(
                "| load / rate | way | over-admitted | fewer than one shared bucket"
                        + " | messages/request |");
        System.out.println("|---|---|---|---|---|");
        for (double load : LOADS) {
            for (FleetSimulation.Mode mode : FleetSimulation.Mode.values()) {
                compare(load, mode);
            }
        }
    }

    private static void compare(double load, FleetSimulation.Mode mode) {
        long refused = 0;
        long ideal = 0;
        long offered = 0;
        long messages = 0;
        double worst = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            FleetSimulation fleet = RateScheduleTest.fleetUnderLoad(seed, load, mode);
            fleet.setLoss(0);
            fleet.runUntil(30 * SECOND);
            fleet.startMeasuring();
            fleet.runUntil(90 * SECOND);
            refused += Math.max(0, fleet.idealAdmitted() - fleet.admitted());
            ideal += fleet.idealAdmitted();
            offered += fleet.offered();
            messages += fleet.messages();
            worst = Math.min(worst, fleet.lowestLevel());
        }
        System.out.printf(
                "| %.2f | %s | %.1f | %.2f%% | %.2f |%n",
                load,
                mode,
                Math.max(0, -worst),
                100.0 * refused / ideal,
                (double) messages / offered);
    }
}
