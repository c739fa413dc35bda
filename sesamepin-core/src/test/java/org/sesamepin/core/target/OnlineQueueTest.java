package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the order of waiting requests, and what late ones can expect. */
class OnlineQueueTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(300);

    private final OnlineQueue mQueue = new OnlineQueue();

    private OnlineQueue.Entry entry(String id, long now) {
        ServiceCoordinator.Request request =
                new ServiceCoordinator.Request(
                        id, "h", 0, true, OBJECTIVE, now + 5 * SECOND, Set.of(), null);
        return mQueue.takeForRepeat(request, now);
    }

    @Test
    void aRequestThatCanBeInTimeGoesBeforeAnOlderLateOne() {
        mQueue.add(entry("old", 0));
        mQueue.add(entry("new", SECOND));
        List<String> order =
                mQueue.ordered(SECOND).stream().map(e -> e.request().requestId()).toList();
        assertEquals(List.of("new", "old"), order);
    }

    @Test
    void aRepeatedRequestKeepsItsAge() {
        mQueue.add(entry("r", 0));
        assertEquals(0, entry("r", SECOND / 2).receivedAt());
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE / 2, 0, Long.MAX_VALUE / 2})
    void theFractionOfLateRequestsIsWellDefinedOnAnyClock(long start) {
        mQueue.recordPlacement(entry("a", start), start);
        assertEquals(1, mQueue.lateFraction());
        mQueue.add(entry("late", start).late());
        mQueue.recordPlacement(entry("b", start + SECOND), start + SECOND);
        assertTrue(mQueue.lateFraction() > 0 && mQueue.lateFraction() < 1);
    }
}
