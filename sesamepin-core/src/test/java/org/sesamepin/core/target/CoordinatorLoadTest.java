package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards the latency and completion objectives under bursts of online requests and batch jobs: a
 * minute of both, on targets of three speeds and a virtual clock. It fails when batch items keep
 * slots that a burst needs, so that responses start late, or when the coordinator ignores the
 * speeds of the targets, so that items end later.
 */
class CoordinatorLoadTest {
    private static final long SEED = 20_261_204;
    private static final long LATENCY_MS = 300;
    private static final long DUE_MS = 18_000;

    private static final long JOB_INTERVAL_MS = 1_400;

    /** With this interval, the items need more than the slots that online requests leave. */
    private static final long OVERLOAD_JOB_INTERVAL_MS = 450;

    private static LoadModel.Outcome simulate(boolean speedsKnown) {
        LoadModel.Settings settings = new LoadModel.Settings(speedsKnown, true, JOB_INTERVAL_MS);
        return new LoadModel(SEED, settings).run();
    }

    private static LoadModel.Outcome simulateOverload(boolean runTimesKnown) {
        LoadModel.Settings settings =
                new LoadModel.Settings(true, runTimesKnown, OVERLOAD_JOB_INTERVAL_MS);
        return new LoadModel(SEED, settings).run();
    }

    @Test
    void meetsLatencyObjectiveDuringBurstsAndCompletesEveryItemInTime() {
        LoadModel.Outcome outcome = simulate(true);
        assertTrue(
                outcome.onTimeShare(LATENCY_MS) >= 0.99,
                "fraction within the latency objective: " + outcome);
        assertEquals(
                outcome.items(),
                outcome.itemsWithin(DUE_MS),
                "items completed in time: " + outcome);
    }

    @Test
    void completesItemsEarlierWhenTargetSpeedsAreKnown() {
        LoadModel.Outcome known = simulate(true);
        LoadModel.Outcome unknown = simulate(false);
        assertTrue(
                known.meanItemMs() < unknown.meanItemMs(),
                "mean item time with known speeds: " + known + "; with unknown speeds: " + unknown);
        assertTrue(known.onTimeShare(LATENCY_MS) >= unknown.onTimeShare(LATENCY_MS));
    }

    /** Without run times, an overloaded fleet ends most items slightly after they are due. */
    @Test
    void completesMoreItemsInTimeUnderOverloadWhenRunTimesAreKnown() {
        LoadModel.Outcome known = simulateOverload(true);
        LoadModel.Outcome unknown = simulateOverload(false);
        assertTrue(
                known.itemsWithin(DUE_MS) > unknown.itemsWithin(DUE_MS),
                "in time with known run times: "
                        + known.itemsWithin(DUE_MS)
                        + "; with unknown run times: "
                        + unknown.itemsWithin(DUE_MS));
        assertTrue(
                known.itemsWithin(DUE_MS) > known.items() / 2,
                "in time of " + known.items() + ": " + known.itemsWithin(DUE_MS));
        assertTrue(known.onTimeShare(LATENCY_MS) >= 0.99, "with known run times: " + known);
    }

    /** With a slot of each target kept free and items preempted at once, 58% are in time. */
    @Test
    void leavesNoSlotUnusedUnderOverload() {
        LoadModel.Outcome outcome = simulateOverload(true);
        assertTrue(
                outcome.itemsWithin(DUE_MS) >= 0.6 * outcome.items(),
                "items in time: " + outcome.itemsWithin(DUE_MS) + " of " + outcome.items());
        assertTrue(outcome.onTimeShare(LATENCY_MS) >= 0.99, "online requests: " + outcome);
    }
}
