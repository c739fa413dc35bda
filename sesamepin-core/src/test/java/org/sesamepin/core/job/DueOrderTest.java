package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Pairs of due times, the one that goes first on the left. */
class DueOrderTest {
    @ParameterizedTest
    @CsvSource({"2000, 3000", "18000, 999", "18000, -5000", "1000, 0", "-5000, -4000"})
    void workThatCanBeInTimeGoesByDueTimeBeforeWorkThatCannot(long first, long second) {
        assertEquals(-1, Integer.signum(DueOrder.compare(first, second)));
        assertEquals(1, Integer.signum(DueOrder.compare(second, first)));
    }
}
