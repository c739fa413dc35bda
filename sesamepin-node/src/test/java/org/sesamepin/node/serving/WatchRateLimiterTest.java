package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tests the delays of watch calls for changes at several rates, on a virtual clock. Without the
 * limit the calls of a fleet grow with its hosts times its changes; too strict a limit delays
 * single changes.
 */
class WatchRateLimiterTest {
    private static final long INTERVAL_MS = 400;

    private long mNowMs;

    private WatchRateLimiter newLimiter(long intervalMs) {
        return new WatchRateLimiter(() -> TimeUnit.MILLISECONDS.toNanos(mNowMs), () -> intervalMs);
    }

    @Test
    void fewCallsInARowAreNotDelayed() {
        WatchRateLimiter limiter = newLimiter(INTERVAL_MS);
        for (int i = 0; i < 4; i++) {
            assertEquals(0, limiter.nextDelayMs());
        }
        assertEquals(INTERVAL_MS, limiter.nextDelayMs());
    }

    @Test
    void frequentChangesAreReadOncePerInterval() {
        WatchRateLimiter limiter = newLimiter(INTERVAL_MS);
        int calls = 0;
        while (mNowMs < 60_000) {
            // A change occurs every 10 ms, so that the next watch call returns at once.
            mNowMs += 10 + limiter.nextDelayMs();
            calls++;
        }
        assertTrue(calls <= 60_000 / INTERVAL_MS + 4, "calls " + calls);
    }

    @Test
    void changesRarerThanTheIntervalAreNotDelayed() {
        WatchRateLimiter limiter = newLimiter(INTERVAL_MS);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, limiter.nextDelayMs());
            mNowMs += INTERVAL_MS;
        }
    }

    @Test
    void noCallIsDelayedWithoutAnInterval() {
        WatchRateLimiter limiter = newLimiter(0);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, limiter.nextDelayMs());
        }
    }

    @Test
    void callsSentAheadOfTimeDeferTheNextOneByAtMostOneInterval() {
        WatchRateLimiter limiter = newLimiter(INTERVAL_MS);
        for (int i = 0; i < 20; i++) {
            limiter.nextDelayMs();
        }
        assertEquals(INTERVAL_MS, limiter.nextDelayMs());
    }
}
