package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against short requests that wait behind long ones at a target while other targets get
 * free, and against large requests, or faulty figures of targets, that make callers wait.
 */
class WorkPlacementTest {
    private static final int SEEDS = 5;
    private static final double[] BURSTS = {1.0, 1.3, 1.8};

    private static final Map<WorkModel.Settings, List<WorkModel.Outcome>> OUTCOMES =
            new ConcurrentHashMap<>();

    private static double mean(
            WorkModel.Settings settings, ToDoubleFunction<WorkModel.Outcome> value) {
        return OUTCOMES.computeIfAbsent(settings, WorkPlacementTest::run).stream()
                .mapToDouble(value)
                .average()
                .orElseThrow();
    }

    private static List<WorkModel.Outcome> run(WorkModel.Settings settings) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new WorkModel(seed, settings).run())
                .toList();
    }

    private static WorkModel.Settings withoutFigures(double burst) {
        return new WorkModel.Settings(false, false, false, burst);
    }

    private static WorkModel.Settings withFigures(double burst) {
        return new WorkModel.Settings(true, true, false, burst);
    }

    /** 0.02 of the callers more in time, in bursts over what the targets can run. */
    @Test
    void moreCallersAreInTimeInBursts() {
        for (double burst : BURSTS) {
            double before = mean(withoutFigures(burst), WorkModel.Outcome::inTimeShare);
            double now = mean(withFigures(burst), WorkModel.Outcome::inTimeShare);
            double gain = burst > 1 ? 0.02 : 0;
            assertTrue(now >= before + gain, burst + ": " + before + " before, " + now + " now");
        }
    }

    @Test
    void largestTenthKeepsItsShare() {
        for (double burst : BURSTS) {
            double before = mean(withoutFigures(burst), WorkModel.Outcome::largestInTimeShare);
            double now = mean(withFigures(burst), WorkModel.Outcome::largestInTimeShare);
            assertTrue(now >= before, burst + ": " + before + " before, " + now + " now");
        }
    }

    /** A target that names a figure at random must not cost more than 0.01 of the callers. */
    @Test
    void wrongFiguresCostLittle() {
        for (double burst : BURSTS) {
            double before = mean(withoutFigures(burst), WorkModel.Outcome::inTimeShare);
            WorkModel.Settings wrong = new WorkModel.Settings(false, true, true, burst);
            double now = mean(wrong, WorkModel.Outcome::inTimeShare);
            assertTrue(now >= before - 0.01, burst + ": " + before + " before, " + now + " now");
        }
    }
}
