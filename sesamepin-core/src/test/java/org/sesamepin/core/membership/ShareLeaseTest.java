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

/**
 * Tests when a host holds a lease on its share. If a host still used its share under an older epoch
 * while another host already uses an enlarged one, the fleet would exceed customers' rates.
 */
class ShareLeaseTest {
    private static final long MS = 1_000_000L;
    private static final FleetTiming TIMING = FleetTiming.STANDARD;

    private long mNow = 5_000 * MS;
    private ShareLease mLease = new ShareLease("a", TIMING, () -> mNow);

    @BeforeEach
    void waitAfterStart() {
        mLease = new ShareLease("a", TIMING, () -> mNow);
        mNow += TIMING.takeoverNanos();
    }

    private static Assignment epoch(long number, List<String> members, List<String> previous) {
        TreeMap<String, Integer> weights = new TreeMap<>();
        members.forEach(m -> weights.put(m, 1));
        return new Assignment(number, weights, new TreeSet<>(previous));
    }

    @Test
    void leaseEndsWhenTheStoreConfirmationExpires() {
        mLease.adopt(epoch(1, List.of("a", "b"), List.of()));
        mLease.recordStoreConfirmation(mNow, 1);
        assertEquals(0.5, mLease.fraction());
        mNow += TIMING.storeConfirmationNanos();
        assertEquals(0, mLease.fraction());
    }

    @Test
    void leaseHasExpiredWhenAPausedHostResumes() {
        mLease.adopt(epoch(1, List.of("a", "b"), List.of()));
        long sentAt = mNow;
        mNow += 30_000 * MS;
        mLease.recordStoreConfirmation(sentAt, 1);
        mLease.recordPeerConfirmation("b", 1, sentAt);
        assertEquals(0, mLease.fraction());
    }

    @Test
    void leaseLastsThroughAStoreOutageOnlyWhileEveryMemberConfirms() {
        mLease.adopt(epoch(1, List.of("a", "b", "c"), List.of()));
        mLease.recordPeerConfirmation("b", 1, mNow);
        assertEquals(0, mLease.fraction());
        mLease.recordPeerConfirmation("c", 1, mNow);
        assertTrue(mLease.fraction() > 0);
        mNow += TIMING.peerConfirmationNanos();
        assertEquals(0, mLease.fraction());
    }

    @Test
    void noConfirmationIsNeededFromAHostRemovedFromThePlatform() {
        mLease.adopt(epoch(1, List.of("a", "b", "c"), List.of()));
        mLease.recordPeerConfirmation("b", 1, mNow);
        mLease.setRemovedHosts(Set.of("c"));
        assertTrue(mLease.fraction() > 0);
    }

    @Test
    void doesNotConfirmAnOlderEpoch() {
        mLease.adopt(epoch(1, List.of("a", "b"), List.of()));
        assertTrue(mLease.confirmsEpoch(1));
        mLease.adopt(epoch(2, List.of("a"), List.of("a", "b")));
        assertFalse(mLease.confirmsEpoch(1));
    }

    @Test
    void shareGrowsOnlyAfterTheOlderEpochHasExpiredEverywhere() {
        mLease.adopt(epoch(1, List.of("a", "b"), List.of()));
        mLease.adopt(epoch(2, List.of("a"), List.of("a", "b")));
        mLease.recordStoreConfirmation(mNow, 2);
        assertEquals(0.5, mLease.fraction());
        mNow += TIMING.takeoverNanos();
        mLease.recordStoreConfirmation(mNow, 2);
        assertEquals(1, mLease.fraction());
    }

    @Test
    void shareGrowsAtOnceWhenTheOtherMembersHaveReleasedTheOlderEpoch() {
        mLease.adopt(epoch(1, List.of("a", "b"), List.of()));
        mLease.adopt(epoch(2, List.of("a"), List.of("a", "b")));
        mLease.recordStoreConfirmation(mNow, 2);
        mLease.recordRelease("b", 2, false);
        assertEquals(1, mLease.fraction());
    }

    @Test
    void joiningHostHasNoShareUntilAPreviousMemberReportsTheEpochSettled() {
        mLease.adopt(epoch(5, List.of("a", "b", "c"), List.of("b", "c")));
        mLease.recordStoreConfirmation(mNow, 5);
        mNow += TIMING.takeoverNanos();
        mLease.recordStoreConfirmation(mNow, 5);
        assertEquals(0, mLease.fraction());
        mLease.recordRelease("b", 5, true);
        assertTrue(mLease.fraction() > 0);
    }

    @Test
    void neverAdoptsAnOlderEpoch() {
        mLease.adopt(epoch(3, List.of("a"), List.of()));
        assertFalse(mLease.adopt(epoch(2, List.of("a", "b"), List.of())));
        assertEquals(3, mLease.assignment().epoch());
    }

    @Test
    void restartedHostWaitsUntilPromisesOfItsFormerProcessHaveExpired() {
        ShareLease restarted = new ShareLease("a", TIMING, () -> mNow);
        restarted.adopt(epoch(1, List.of("a"), List.of()));
        restarted.recordStoreConfirmation(mNow, 1);
        assertEquals(0, restarted.fraction());
        assertFalse(restarted.confirmsEpoch(1));
    }
}
