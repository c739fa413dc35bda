package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against waits that are expected from requests which have ended or are not known. */
class TargetWorkloadTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final TargetInstance TARGET =
            new TargetInstance(
                    "t",
                    1,
                    "s",
                    "v1",
                    new InetSocketAddress("127.0.0.1", 1),
                    "a",
                    2,
                    TargetState.READY,
                    0);

    private final TargetWorkload mWorkload = new TargetWorkload();

    private void grant(String host, double workMs, long nowMs) {
        mWorkload.recordGrant(
                host, TARGET.incarnation(), new WorkEstimator.Estimate(workMs, 10), nowMs * MS);
    }

    private double waitMs(int inFlight, double slowdown, long nowMs) {
        Double waitMs = mWorkload.waitMs(TARGET, inFlight, slowdown, nowMs * MS);
        assertNotNull(waitMs);
        return waitMs;
    }

    @Test
    void waitEndsWithTheRequestThatIsExpectedToEndFirst() {
        grant("a", 400, 0);
        grant("b", 1_000, 0);
        assertEquals(400, waitMs(2, 1, 0), 1e-9);
        assertEquals(300, waitMs(2, 1, 100), 1e-9);
        grant("b", 500, 100);
        assertEquals(500, waitMs(3, 1, 100), 1e-9);
        assertEquals(0, waitMs(1, 1, 100), 1e-9);
    }

    @Test
    void slowTargetNeedsLonger() {
        grant("a", 400, 0);
        grant("a", 400, 0);
        assertEquals(800, waitMs(2, 2, 0), 1e-9);
        assertEquals(700, waitMs(2, 2, 100), 1e-9);
    }

    @Test
    void requestThatLastsLongerThanExpectedMayEndAtAnyMoment() {
        grant("a", 400, 0);
        grant("a", 400, 0);
        assertEquals(10, waitMs(2, 1, 5_000), 1e-9);
    }

    @Test
    void endedRequestsAreDropped() {
        grant("a", 400, 0);
        grant("a", 900, 0);
        grant("b", 700, 0);
        mWorkload.retain("a", Map.of(TARGET.incarnation(), 1), 400 * MS);
        assertEquals(300, waitMs(2, 1, 400), 1e-9);
        mWorkload.retain("a", Map.of(), 500 * MS);
        mWorkload.retain("b", Map.of(), 500 * MS);
        assertTrue(mWorkload.isEmpty());
    }

    /** Where other requests run too, any of them may end first: placement is as without work. */
    @Test
    void waitIsUnknownBesideRequestsOfUnknownWork() {
        grant("a", 400, 0);
        assertNull(mWorkload.waitMs(TARGET, 2, 1, 0));
        assertNull(mWorkload.waitMs(TARGET, 3, 1, 0));
    }
}
