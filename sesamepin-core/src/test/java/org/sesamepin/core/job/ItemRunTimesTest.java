package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

    @Test
    void hostWithoutCompletionsExpectsWhatTheOthersHaveLearned() {
        mRunTimes.recordCompletion("route", 100, 2_000);
        ItemRunTimes other = new ItemRunTimes();
        other.adopt(mRunTimes.averagesByRoute());
        assertEquals(2_000, other.remainingMs("route", 0));
    }

    @Test
    void hostsThatTellEachOtherTheirRunTimesAgree() {
        ItemRunTimes other = new ItemRunTimes();
        mRunTimes.recordCompletion("route", 100, 2_000);
        other.recordCompletion("route", 100, 6_000);
        for (int i = 0; i < 20; i++) {
            other.adopt(mRunTimes.averagesByRoute());
            mRunTimes.adopt(other.averagesByRoute());
        }
        long difference = other.remainingMs("route", 0) - mRunTimes.remainingMs("route", 0);
        assertTrue(Math.abs(difference) < 100, "difference: " + difference + " ms");
    }
}
