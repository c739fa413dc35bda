package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks when failed connections show that this host, and not a target, is cut off. */
final class HostIsolationTest {
    private static final int TARGETS = 5;

    private final HostIsolation mIsolation = new HostIsolation();
    private long mNow;

    /** Lets the connection to a target fail, while a peer reaches it. */
    private boolean fail(String target) {
        failForAll(target);
        mIsolation.recordReachedByPeer(target, mNow);
        return mIsolation.judge(TARGETS, mNow);
    }

    private void failForAll(String target) {
        mNow += TimeUnit.MILLISECONDS.toNanos(10);
        mIsolation.recordFailed(target, mNow);
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
        assertFalse(mIsolation.recordConnected(mNow));
        fail("c");
        assertFalse(mIsolation.isIsolated());
    }

    @Test
    void connectionEndsTheIsolation() {
        fail("a");
        fail("b");
        fail("c");
        assertTrue(mIsolation.recordConnected(mNow));
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
        assertFalse(failOf("a", 2));
        assertTrue(failOf("b", 2));
    }

    @Test
    void singleRegisteredTargetShowsNoIsolation() {
        assertFalse(failOf("a", 1));
    }

    private boolean failOf(String target, int registeredTargets) {
        mIsolation.recordFailed(target, mNow);
        mIsolation.recordReachedByPeer(target, mNow);
        return mIsolation.judge(registeredTargets, mNow);
    }

    /** Guards against hosts that take the ends of targets for a cut of their own path. */
    @Test
    void targetsThatNoPeerReachesAreNoIsolation() {
        List.of("a", "b", "c", "d").forEach(this::failForAll);
        assertTrue(mIsolation.isSuspect(TARGETS, mNow));
        assertFalse(mIsolation.judge(TARGETS, mNow), "no peer was heard");

        List.of("a", "b", "c", "d")
                .forEach(target -> mIsolation.recordUnreachableFromPeer(target, mNow));
        assertFalse(mIsolation.isSuspect(TARGETS, mNow));
        assertFalse(mIsolation.judge(TARGETS, mNow), "peers reach none of them");
    }

    @Test
    void silentTargetsOfWhichNoPeerCanTellAreAnIsolation() {
        List<String> targets = List.of("a", "b", "c");
        targets.forEach(target -> mIsolation.recordSilent(target, mNow));
        assertFalse(mIsolation.judge(TARGETS, mNow), "no peer was asked");

        targets.forEach(target -> mIsolation.recordUnknownToPeers(target, mNow));
        assertTrue(mIsolation.judge(TARGETS, mNow));
    }

    @Test
    void refusingTargetsOfWhichNoPeerCanTellAreNoIsolation() {
        List<String> targets = List.of("a", "b", "c", "d");
        targets.forEach(this::failForAll);
        targets.forEach(target -> mIsolation.recordUnknownToPeers(target, mNow));
        assertFalse(mIsolation.judge(TARGETS, mNow));
    }

    @Test
    void silentTargetsThatNoPeerReachesAreNoIsolation() {
        List<String> targets = List.of("a", "b", "c", "d");
        targets.forEach(target -> mIsolation.recordSilent(target, mNow));
        targets.forEach(target -> mIsolation.recordUnreachableFromPeer(target, mNow));
        assertFalse(mIsolation.judge(TARGETS, mNow));
    }

    @Test
    void targetThatAPeerReachesMuchLaterMayHaveStartedAgain() {
        List.of("a", "b", "c").forEach(this::failForAll);
        mNow += TimeUnit.SECONDS.toNanos(1);
        List.of("a", "b", "c").forEach(target -> mIsolation.recordReachedByPeer(target, mNow));
        assertFalse(mIsolation.judge(TARGETS, mNow));
    }

    @Test
    void targetsThatNoPeerReachesAreKnownDuringAnIsolation() {
        failForAll("x");
        mIsolation.recordUnreachableFromPeer("x", mNow);
        fail("a");
        fail("b");
        fail("c");
        assertTrue(mIsolation.isIsolated());
        assertEquals(Set.of("x"), mIsolation.unreachableTargets(mNow));

        mIsolation.recordReachedByPeer("x", mNow);
        assertEquals(Set.of(), mIsolation.unreachableTargets(mNow));
    }

    @Test
    void onlyTargetsWithoutAViewOfPeersAreToBeCompared() {
        List.of("a", "b", "c", "d", "e").forEach(this::failForAll);
        mIsolation.recordUnreachableFromPeer("a", mNow);
        mIsolation.recordReachedByPeer("b", mNow);

        List<String> toCompare = mIsolation.targetsToCompare(TARGETS, mNow);

        assertEquals(2, toCompare.size());
        assertTrue(Set.of("c", "d", "e").containsAll(toCompare), toCompare.toString());
    }
}
