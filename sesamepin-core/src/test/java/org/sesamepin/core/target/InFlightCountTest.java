package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against placements on wrong counts: requests that still count after they have ended, so
 * that others are refused beside free slots, and requests that run and are not counted, so that
 * targets get more than their slots.
 */
class InFlightCountTest {
    private static final int[] HOSTS = {10, 70};
    private static final int[] REQUEST_MS = {5, 30, 100, 500};
    private static final double PER_S = 80;
    private static final long NEVER_MS = Long.MAX_VALUE;

    /** Checks that all counts are exact but for the time of one message; returns the outcome. */
    private static InFlightModel.Outcome checkExact(long seed, InFlightModel.Settings settings) {
        InFlightModel.Outcome outcome = new InFlightModel(seed, settings).run();
        String seen = "seed " + seed + ", " + settings + ": " + outcome;
        assertTrue(outcome.checks() > 1_000, seen);
        assertEquals(0, outcome.missed(), seen);
        assertEquals(0, outcome.late(), seen);
        return outcome;
    }

    private static InFlightModel.Settings settings(
            int hosts, int requestMs, int maxDelayMs, double lostReports, double lostAnswers) {
        return new InFlightModel.Settings(
                hosts, requestMs, PER_S, maxDelayMs, lostReports, lostAnswers, NEVER_MS, true);
    }

    @Test
    void countsWhatRunsWhenMessagesTakeSomeMilliseconds() {
        for (int hosts : HOSTS) {
            for (int requestMs : REQUEST_MS) {
                InFlightModel.Outcome outcome = checkExact(1, settings(hosts, requestMs, 4, 0, 0));
                // A request counts from its grant to the arrival of the report: 12 ms to the
                // report, and two messages of up to 4 ms.
                double extra = PER_S * (12 + 2 * 4) / 1_000;
                String seen = hosts + " hosts, " + requestMs + " ms: " + outcome;
                assertTrue(outcome.counted() <= outcome.running() + extra, seen);
            }
        }
    }

    /** A request of 30 ms kept its slot until a periodic report, which is every 500 ms. */
    @Test
    void reportsThatDoNotNameTheirGrantsKeepShortRequests() {
        InFlightModel.Settings settings =
                new InFlightModel.Settings(70, 30, PER_S, 4, 0, 0, NEVER_MS, false);
        InFlightModel.Outcome outcome = new InFlightModel(1, settings).run();
        assertTrue(outcome.late() > outcome.checks() / 2, outcome.toString());
    }

    @Test
    void countsWhatRunsWhenMessagesAreLateAndReordered() {
        for (long seed = 1; seed <= 5; seed++) {
            for (int hosts : HOSTS) {
                for (int requestMs : REQUEST_MS) {
                    checkExact(seed, settings(hosts, requestMs, 140, 0, 0));
                }
            }
        }
    }

    @Test
    void countsWhatRunsWhenReportsAreLost() {
        for (long seed = 1; seed <= 5; seed++) {
            for (int hosts : HOSTS) {
                for (int requestMs : REQUEST_MS) {
                    checkExact(seed, settings(hosts, requestMs, 60, 0.2, 0));
                }
            }
        }
    }

    @Test
    void countsWhatRunsWhenAnswersAreLost() {
        for (long seed = 1; seed <= 5; seed++) {
            for (int hosts : HOSTS) {
                for (int requestMs : REQUEST_MS) {
                    checkExact(seed, settings(hosts, requestMs, 200, 0.1, 0.1));
                }
            }
        }
    }

    @Test
    void countsWhatRunsAfterAChangeOfTheCoordinator() {
        for (long seed = 1; seed <= 5; seed++) {
            for (int hosts : HOSTS) {
                for (int requestMs : REQUEST_MS) {
                    checkExact(
                            seed,
                            new InFlightModel.Settings(
                                    hosts, requestMs, PER_S, 40, 0.1, 0.05, 10_000, true));
                }
            }
        }
    }
}
