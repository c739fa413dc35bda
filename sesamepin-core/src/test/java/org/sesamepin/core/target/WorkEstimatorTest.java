package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against estimates from requests of another kind, and from times that are none. */
class WorkEstimatorTest {
    private static final RequestSize SHORT = new RequestSize(100, 50);
    private static final RequestSize LONG = new RequestSize(100, 2_000);

    private final WorkEstimator mEstimator = new WorkEstimator();

    private void record(RequestSize size, double workMs, int times) {
        for (int i = 0; i < times; i++) {
            mEstimator.record("route", size, workMs);
        }
    }

    private WorkEstimator.Estimate estimate(RequestSize size) {
        WorkEstimator.Estimate estimate = mEstimator.estimate("route", size);
        assertNotNull(estimate);
        return estimate;
    }

    @Test
    void tellsShortRequestsFromLongOnes() {
        for (int i = 0; i < 30; i++) {
            record(SHORT, 100, 1);
            record(LONG, 4_000, 1);
        }
        assertTrue(estimate(SHORT).meanMs() < 1_000, estimate(SHORT).toString());
        assertTrue(estimate(LONG).meanMs() > 3_000, estimate(LONG).toString());
    }

    @Test
    void requestOfAnUnknownSizeIsExpectedLikeItsRoute() {
        record(SHORT, 100, 10);
        assertEquals(100, estimate(LONG).meanMs(), 1e-9);
        assertNull(mEstimator.estimate("other", SHORT));
    }

    @Test
    void requestWithoutTokensHasNoEstimate() {
        record(SHORT, 100, 10);
        assertNull(mEstimator.estimate("route", RequestSize.NONE));
        record(RequestSize.NONE, 9_000, 10);
        assertEquals(100, estimate(SHORT).meanMs(), 1e-9);
    }

    @Test
    void learnsHowFarRequestsDeviate() {
        for (int i = 0; i < 50; i++) {
            record(SHORT, i % 2 == 0 ? 50 : 150, 1);
        }
        assertEquals(50, estimate(SHORT).errorMs(), 15);
    }

    @Test
    void timesThatAreNoPositiveNumbersAreIgnored() {
        record(SHORT, 100, 1);
        for (double faulty : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            record(SHORT, faulty, 1);
        }
        assertEquals(100, estimate(SHORT).meanMs(), 1e-9);
    }

    @Test
    void negativeNumbersOfTokensCountAsNone() {
        assertEquals(RequestSize.NONE, new RequestSize(-1, -5));
    }
}
