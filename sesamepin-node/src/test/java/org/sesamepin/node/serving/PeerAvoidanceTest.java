package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks which peers are not asked for tunnels, and how many tries may fail. */
class PeerAvoidanceTest {
    private static final int MAX_FAILED_TRIES_PER_S = 100;

    private final PeerAvoidance mAvoidance = new PeerAvoidance();
    private long mNow = 1;

    @Test
    void peerThatCouldNotHelpIsAskedOnceForARequest() {
        mAvoidance.avoid("p", "r1", mNow);

        assertTrue(mAvoidance.isAvoided("p", mNow));
        assertTrue(mAvoidance.couldNotHelp("p", "r1", mNow));
        assertFalse(mAvoidance.couldNotHelp("p", "r2", mNow));
        assertFalse(mAvoidance.isAvoided("q", mNow));
    }

    @Test
    void peerIsAskedAgainAfterAWhile() {
        mAvoidance.avoid("p", "r1", mNow);
        mNow += TimeUnit.SECONDS.toNanos(2);

        assertFalse(mAvoidance.isAvoided("p", mNow));
        assertFalse(mAvoidance.couldNotHelp("p", "r1", mNow));
    }

    @Test
    void failedTriesOfAllRequestsAreBounded() {
        int tries = 0;
        for (int ms = 0; ms < 10_000; ms++) {
            mNow += TimeUnit.MILLISECONDS.toNanos(1);
            if (mAvoidance.mayTry(mNow)) {
                mAvoidance.recordFailedTry(mNow);
                tries++;
            }
        }
        assertEquals(10 * MAX_FAILED_TRIES_PER_S, tries);
    }
}
