package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the expected remaining run time of items, which decides how soon they have to start. */
class ItemRunTimesTest {
    private final ItemRunTimes mRunTimes = new ItemRunTimes();

    @Test
    void nothingIsExpectedBeforeTheFirstCompletion() {
        assertEquals(0, mRunTimes.remainingMs("route", 0));
    }

    @Test
    void remainingTimeFallsWithTheEventsReceived() {
        mRunTimes.recordCompletion("route", 100, 2_000);
        assertEquals(2_000, mRunTimes.remainingMs("route", 0));
        assertEquals(500, mRunTimes.remainingMs("route", 75));
    }

    @Test
    void itemLongerThanAverageIsNotExpectedToEndAtOnce() {
        mRunTimes.recordCompletion("route", 100, 2_000);
        assertEquals(200, mRunTimes.remainingMs("route", 150));
    }

    @Test
    void routesAreKeptApart() {
        mRunTimes.recordCompletion("route", 100, 2_000);
        assertEquals(0, mRunTimes.remainingMs("other", 0));
    }
}
