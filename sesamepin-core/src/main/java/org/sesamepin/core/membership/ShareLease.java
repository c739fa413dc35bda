package org.sesamepin.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sesamepin.core.time.Ticker;

/**
 * Decides until when this host may use its share of the customers' rates, by its own clock.
 *
 * <p>A host acts on epoch e while one of two things holds. Either the store confirmed e within
 * {@link FleetTiming#storeConfirmationNanos}, counted from before the read was sent: no newer epoch
 * existed then. Or, for a store outage of any length, every other member of e consented within
 * {@link FleetTiming#peerConfirmationNanos}, counted from before the question was sent: a member
 * consents only while it has not adopted a newer epoch, and one that adopts a newer epoch enlarges
 * its share only after all consents it gave have run out. One member that has seen a newer epoch
 * thus ends the older one for all; there is no vote and no state that outlives the process.
 *
 * <p>A host that starts waits out {@link FleetTiming#takeoverNanos} first, since it has forgotten
 * what its former process promised. Thread-safe.
 */
public final class ShareLease {
    private final String mSelf;
    private final FleetTiming mTiming;
    private final Ticker mTicker;
    private final long mStartedAt;

    private Assignment mAssignment = Assignment.NONE;
    private long mAdoptedAt;
    private double mOldFraction;
    private boolean mSettled;
    private long mSettledAt;
    private long mReleasedBefore;
    private long mStoreConfirmedAt;
    private boolean mStoreConfirmed;
    private final Map<String, Long> mConsents = new HashMap<>();
    private final Set<String> mReleasedBy = new HashSet<>();
    private final Set<String> mGone = new HashSet<>();

    /** Creates the tenure of the host {@code self}, which starts now. */
    public ShareLease(String self, FleetTiming timing, Ticker ticker) {
        mSelf = self;
        mTiming = timing;
        mTicker = ticker;
        mStartedAt = ticker.nanoTime();
    }

    /** Adopts an assignment; one that is not newer than the adopted one is ignored. */
    public synchronized boolean adopt(Assignment assignment) {
        if (assignment.epoch() <= mAssignment.epoch()) {
            return false;
        }
        long now = mTicker.nanoTime();
        mOldFraction = usableFraction();
        mReleasedBefore = releasedEpoch();
        mAssignment = assignment;
        mAdoptedAt = now;
        mSettled = false;
        mStoreConfirmed = false;
        mConsents.clear();
        mReleasedBy.clear();
        settle(now);
        return true;
    }

    /** Notes that a read of the store, sent at {@code sentAt}, found {@code epoch} in force. */
    public synchronized void recordStoreConfirmation(long sentAt, long epoch) {
        if (epoch != mAssignment.epoch()) {
            return;
        }
        if (!mStoreConfirmed || sentAt - mStoreConfirmedAt > 0) {
            mStoreConfirmedAt = sentAt;
            mStoreConfirmed = true;
        }
    }

    /** Answers whether this host consents to a peer that still acts on {@code epoch}. */
    public synchronized boolean confirmsEpoch(long epoch) {
        return epoch == mAssignment.epoch() && isAwake(mTicker.nanoTime());
    }

    /** Notes a consent by {@code peer} to a question that was sent at {@code askedAt}. */
    public synchronized void recordPeerConfirmation(String peer, long epoch, long askedAt) {
        if (epoch == mAssignment.epoch()) {
            mConsents.merge(peer, askedAt, (a, b) -> b - a > 0 ? b : a);
        }
    }

    /** Notes that {@code peer} no longer acts on any epoch older than {@code epoch}. */
    public synchronized void recordRelease(String peer, long epoch, boolean settled) {
        if (epoch < mAssignment.epoch()) {
            return;
        }
        mReleasedBy.add(peer);
        boolean sameEpoch = epoch == mAssignment.epoch();
        if (settled && sameEpoch && mAssignment.previous().contains(peer)) {
            mReleasedBy.addAll(mAssignment.previous());
        }
    }

    /** Replaces the set of hosts that the platform's list no longer has. */
    public synchronized void setRemovedHosts(Set<String> hosts) {
        mGone.clear();
        mGone.addAll(hosts);
    }

    /** Returns the part of each rate that this host may use now; 0 when it may not act. */
    public synchronized double fraction() {
        return remainingNanos() > 0 ? usableFraction() : 0;
    }

    /**
     * Returns the part of each rate that this host may use now and that was its own throughout the
     * time since {@code since}.
     */
    public synchronized double fractionHeldSince(long since) {
        if (remainingNanos() <= 0) {
            return 0;
        }
        boolean heldBefore = isSettled() && since - mSettledAt >= 0;
        double current = usableFraction();
        return heldBefore ? current : Math.min(current, mOldFraction);
    }

    /** Returns for how long this host may act without a further confirmation, nanoseconds. */
    public synchronized long remainingNanos() {
        long now = mTicker.nanoTime();
        if (!isAwake(now) || !mAssignment.contains(mSelf)) {
            return 0;
        }
        long byStore =
                mStoreConfirmed ? mStoreConfirmedAt + mTiming.storeConfirmationNanos() - now : 0;
        return Math.max(0, Math.max(byStore, consentRemaining(now)));
    }

    private long consentRemaining(long now) {
        long least = mTiming.peerConfirmationNanos();
        for (String other : mAssignment.others(mSelf)) {
            if (mGone.contains(other)) {
                continue;
            }
            Long askedAt = mConsents.get(other);
            if (askedAt == null) {
                return 0;
            }
            least = Math.min(least, askedAt + mTiming.peerConfirmationNanos() - now);
        }
        return least;
    }

    private double usableFraction() {
        double current = mAssignment.fraction(mSelf);
        return isSettled() ? current : Math.min(current, mOldFraction);
    }

    /** Tells whether nobody can act on an epoch older than the adopted one any more. */
    public synchronized boolean isSettled() {
        settle(mTicker.nanoTime());
        return mSettled;
    }

    private void settle(long now) {
        if (mSettled || mAssignment.epoch() == 0) {
            return;
        }
        boolean allReleased = true;
        boolean allGone = true;
        for (String other : mAssignment.previousOthers(mSelf)) {
            boolean gone = mGone.contains(other);
            allReleased &= mReleasedBy.contains(other);
            allGone &= gone;
        }
        boolean waited = now - mAdoptedAt >= mTiming.takeoverNanos();
        boolean withheldConsent = mAssignment.previous().contains(mSelf);
        mSettled = allReleased || (waited && (withheldConsent || allGone));
        mSettledAt = now;
    }

    /**
     * Returns the epoch below which this host surely does nothing: also what it delegated and the
     * blocks granted from it have run out.
     */
    public synchronized long releasedEpoch() {
        boolean ended = mTicker.nanoTime() - mAdoptedAt >= mTiming.delegationExpiryNanos();
        return ended ? mAssignment.epoch() : mReleasedBefore;
    }

    public synchronized Assignment assignment() {
        return mAssignment;
    }

    private boolean isAwake(long now) {
        return now - mStartedAt >= mTiming.takeoverNanos();
    }
}
