package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the estimate of a request's arrival. A host that is short of processor time must not grant
 * a request more time than its caller has left.
 */
class EventLoopLagTest {
    private final Vertx mVertx = Vertx.vertx();
    private long mNow = TimeUnit.SECONDS.toNanos(100);
    private final EventLoopLag mLag = new EventLoopLag(mVertx, () -> mNow);

    @AfterEach
    void close() {
        mVertx.close();
    }

    private void advanceMs(long ms) {
        mNow += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private long estimatedWaitMs() {
        return TimeUnit.NANOSECONDS.toMillis(mNow - mLag.earliestArrival());
    }

    @Test
    void requestIsFreshWhileTimersRunOnTime() {
        mLag.recordTick();
        advanceMs(45);
        assertEquals(0, estimatedWaitMs());
    }

    @Test
    void requestMayHaveWaitedAsLongAsTheEventLoopWasBusy() {
        mLag.recordTick();
        advanceMs(2_050);
        assertEquals(2_000, estimatedWaitMs());
    }

    @Test
    void requestIsFreshAgainAfterTheNextTick() {
        mLag.recordTick();
        advanceMs(2_050);
        mLag.recordTick();
        assertEquals(0, estimatedWaitMs());
    }

    @Test
    void requestIsFreshBeforeTheStart() {
        assertEquals(0, estimatedWaitMs());
    }
}
