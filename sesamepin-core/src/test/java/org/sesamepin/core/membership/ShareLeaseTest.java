package org.sesamepin.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a host may do by its own clock. */
class ShareLeaseTest {
    private static final long MS = 1_000_000L;
    private static final FleetTiming TIMING = FleetTiming.STANDARD;

    private long mNow = 5_000 * MS;
    private ShareLease mTenure = new ShareLease("a", TIMING, () -> mNow);

    @BeforeEach
    void passTheStartingWait() {
        mTenure = new ShareLease("a", TIMING, () -> mNow);
        mNow += TIMING.takeoverNanos();
    }

    private static Assignment epoch(long number, List<String> members, List<String> previous) {
        TreeMap<String, Integer> weights = new TreeMap<>();
        members.forEach(m -> weights.put(m, 1));
        return new Assignment(number, weights, new TreeSet<>(previous));
    }

    @Test
    void actsWhileTheStoreConfirmsAndNoLonger() {
        mTenure.adopt(epoch(1, List.of("a", "b"), List.of()));
        mTenure.recordStoreConfirmation(mNow, 1);
        assertEquals(0.5, mTenure.fraction());
        mNow += TIMING.storeConfirmationNanos();
        assertEquals(0, mTenure.fraction());
    }

    @Test
    void aPausedHostFindsItsTenureOverWhenItResumes() {
        mTenure.adopt(epoch(1, List.of("a", "b"), List.of()));
        long sentAt = mNow;
        mNow += 30_000 * MS;
        mTenure.recordStoreConfirmation(sentAt, 1);
        mTenure.recordPeerConfirmation("b", 1, sentAt);
        assertEquals(0, mTenure.fraction());
    }

    @Test
    void actsThroughAStoreOutageOnlyWhileEveryMemberConsents() {
        mTenure.adopt(epoch(1, List.of("a", "b", "c"), List.of()));
        mTenure.recordPeerConfirmation("b", 1, mNow);
        assertEquals(0, mTenure.fraction());
        mTenure.recordPeerConfirmation("c", 1, mNow);
        assertTrue(mTenure.fraction() > 0);
        mNow += TIMING.peerConfirmationNanos();
        assertEquals(0, mTenure.fraction());
    }

    @Test
    void aMemberThatThePlatformNoLongerListsNeedsNotConsent() {
        mTenure.adopt(epoch(1, List.of("a", "b", "c"), List.of()));
        mTenure.recordPeerConfirmation("b", 1, mNow);
        mTenure.setRemovedHosts(Set.of("c"));
        assertTrue(mTenure.fraction() > 0);
    }

    @Test
    void consentsToNoOlderEpoch() {
        mTenure.adopt(epoch(1, List.of("a", "b"), List.of()));
        assertTrue(mTenure.confirmsEpoch(1));
        mTenure.adopt(epoch(2, List.of("a"), List.of("a", "b")));
        assertFalse(mTenure.confirmsEpoch(1));
    }

    @Test
    void enlargesItsShareOnlyWhenNobodyCanActOnTheOlderEpoch() {
        mTenure.adopt(epoch(1, List.of("a", "b"), List.of()));
        mTenure.adopt(epoch(2, List.of("a"), List.of("a", "b")));
        mTenure.recordStoreConfirmation(mNow, 2);
        assertEquals(0.5, mTenure.fraction());
        mNow += TIMING.takeoverNanos();
        mTenure.recordStoreConfirmation(mNow, 2);
        assertEquals(1, mTenure.fraction());
    }

    @Test
    void enlargesItsShareAtOnceWhenTheOthersHaveReleased() {
        mTenure.adopt(epoch(1, List.of("a", "b"), List.of()));
        mTenure.adopt(epoch(2, List.of("a"), List.of("a", "b")));
        mTenure.recordStoreConfirmation(mNow, 2);
        mTenure.recordRelease("b", 2, false);
        assertEquals(1, mTenure.fraction());
    }

    @Test
    void aHostThatJoinsHasNoShareUntilAFormerMemberSaysThatTheOthersStopped() {
        mTenure.adopt(epoch(5, List.of("a", "b", "c"), List.of("b", "c")));
        mTenure.recordStoreConfirmation(mNow, 5);
        mNow += TIMING.takeoverNanos();
        mTenure.recordStoreConfirmation(mNow, 5);
        assertEquals(0, mTenure.fraction());
        mTenure.recordRelease("b", 5, true);
        assertTrue(mTenure.fraction() > 0);
    }

    @Test
    void neverGoesBackToAnOlderEpoch() {
        mTenure.adopt(epoch(3, List.of("a"), List.of()));
        assertFalse(mTenure.adopt(epoch(2, List.of("a", "b"), List.of())));
        assertEquals(3, mTenure.assignment().epoch());
    }

    @Test
    void waitsAfterItsStartSinceItForgotWhatItPromised() {
        ShareLease fresh = new ShareLease("a", TIMING, () -> mNow);
        fresh.adopt(epoch(1, List.of("a"), List.of()));
        fresh.recordStoreConfirmation(mNow, 1);
        assertEquals(0, fresh.fraction());
        assertFalse(fresh.confirmsEpoch(1));
    }
}
