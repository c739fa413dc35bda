package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks when failed connections show that this host, and not a target, is cut off. */
final class HostIsolationTest {
    private static final int TARGETS = 5;

    private final HostIsolation mIsolation = new HostIsolation();
    private long mNow;

    private boolean fail(String target) {
        mNow += TimeUnit.MILLISECONDS.toNanos(10);
        return mIsolation.recordFailed(target, TARGETS, mNow);
    }

    @Test
    void twoFailingTargetsAreNoIsolation() {
        for (int i = 0; i < 100; i++) {
            assertFalse(fail("a"));
            assertFalse(fail("b"));
        }
        assertFalse(mIsolation.isIsolated());
    }

    @Test
    void threeFailingTargetsWithoutConnectionAreAnIsolation() {
        assertFalse(fail("a"));
        assertFalse(fail("b"));
        assertTrue(fail("c"));
        assertTrue(mIsolation.isIsolated());
        assertFalse(fail("d"), "it is reported once");
    }

    @Test
    void connectionBetweenTwoFailuresShowsThatThePathIsSound() {
        fail("a");
        fail("b");
        assertFalse(mIsolation.recordConnected());
        fail("c");
        assertFalse(mIsolation.isIsolated());
    }

    @Test
    void connectionEndsTheIsolation() {
        fail("a");
        fail("b");
        fail("c");
        assertTrue(mIsolation.recordConnected());
        assertFalse(mIsolation.isIsolated());
        fail("d");
        assertFalse(mIsolation.isIsolated(), "a failure before the connection counts no more");
    }

    @Test
    void isolationLastsWithoutFurtherFailures() {
        fail("a");
        fail("b");
        fail("c");
        mNow += TimeUnit.MINUTES.toNanos(1);
        fail("a");
        assertTrue(mIsolation.isIsolated());
    }

    @Test
    void failuresLongAgoAreForgotten() {
        fail("a");
        fail("b");
        mNow += TimeUnit.SECONDS.toNanos(5);
        fail("c");
        assertFalse(mIsolation.isIsolated());
    }

    @Test
    void twoRegisteredTargetsAreEnough() {
        assertFalse(mIsolation.recordFailed("a", 2, 0));
        assertTrue(mIsolation.recordFailed("b", 2, 0));
    }

    @Test
    void singleRegisteredTargetShowsNoIsolation() {
        assertFalse(mIsolation.recordFailed("a", 1, 0));
    }
}
