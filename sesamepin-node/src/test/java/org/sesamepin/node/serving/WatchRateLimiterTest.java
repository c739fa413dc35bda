package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Changes at several rates, on a virtual clock. */
class WatchRateLimiterTest {
    private static final long INTERVAL_MS = 400;

    private long mNowMs;

    private WatchRateLimiter pace(long intervalMs) {
        return new WatchRateLimiter(() -> TimeUnit.MILLISECONDS.toNanos(mNowMs), () -> intervalMs);
    }

    @Test
    void fewChangesAreTakenAtOnce() {
        WatchRateLimiter pace = pace(INTERVAL_MS);
        for (int i = 0; i < 4; i++) {
            assertEquals(0, pace.nextPauseMs());
        }
        assertEquals(INTERVAL_MS, pace.nextPauseMs());
    }

    @Test
    void steadyFlowIsTakenOnceAnInterval() {
        WatchRateLimiter pace = pace(INTERVAL_MS);
        int calls = 0;
        while (mNowMs < 60_000) {
            // A change each 10 ms: the next call is answered at once.
            mNowMs += 10 + pace.nextPauseMs();
            calls++;
        }
        assertTrue(calls <= 60_000 / INTERVAL_MS + 4, "calls " + calls);
    }

    @Test
    void changesRarerThanTheIntervalAreNeverHeldBack() {
        WatchRateLimiter pace = pace(INTERVAL_MS);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, pace.nextPauseMs());
            mNowMs += INTERVAL_MS;
        }
    }

    @Test
    void withoutAnIntervalNothingIsHeldBack() {
        WatchRateLimiter pace = pace(0);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, pace.nextPauseMs());
        }
    }
}
