package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the order of batch work behind a backlog: if overdue work went first, all work would end
 * late. Each pair holds the time until due of the unit that goes first, then that of the other.
 */
class DueOrderTest {
    @ParameterizedTest
    @CsvSource({"2000, 3000", "18000, 999", "18000, -5000", "1000, 0", "-5000, -4000"})
    void ordersWorkThatCanBeInTimeByDueTimeBeforeOverdueWork(long first, long second) {
        assertEquals(-1, Integer.signum(DueOrder.compare(first, second)));
        assertEquals(1, Integer.signum(DueOrder.compare(second, first)));
    }
}
