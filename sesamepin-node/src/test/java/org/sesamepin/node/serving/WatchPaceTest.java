package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Changes at several rates, on a virtual clock. */
class WatchPaceTest {
    private static final long INTERVAL_MS = 400;

    private long mNowMs;

    private WatchPace newLimiter(long intervalMs) {
        return new WatchPace(() -> TimeUnit.MILLISECONDS.toNanos(mNowMs), () -> intervalMs);
    }

    @Test
    void fewCallsInARowAreNotDelayed() {
        WatchPace pace = newLimiter(INTERVAL_MS);
        for (int i = 0; i < 4; i++) {
            assertEquals(0, pace.nextDelayMs());
        }
        assertEquals(INTERVAL_MS, pace.nextDelayMs());
    }

    @Test
    void frequentChangesAreReadOncePerInterval() {
        WatchPace pace = newLimiter(INTERVAL_MS);
        int calls = 0;
        while (mNowMs < 60_000) {
            // A change each 10 ms: the next call is answered at once.
            mNowMs += 10 + pace.nextDelayMs();
            calls++;
        }
        assertTrue(calls <= 60_000 / INTERVAL_MS + 4, "calls " + calls);
    }

    @Test
    void changesRarerThanTheIntervalAreNotDelayed() {
        WatchPace pace = newLimiter(INTERVAL_MS);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, pace.nextDelayMs());
            mNowMs += INTERVAL_MS;
        }
    }

    @Test
    void noCallIsDelayedWithoutAnInterval() {
        WatchPace pace = newLimiter(0);
        for (int i = 0; i < 100; i++) {
            assertEquals(0, pace.nextDelayMs());
        }
    }
}
