package org.sesamepin.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sesamepin.core.time.Ticker;

/**
 * This host's lease on its share of the customers' rates, measured by its own clock.
 *
 * <p>A host may use its share under epoch e while one of two conditions holds:
 *
 * <ul>
 *   <li>The store confirmed e within {@link FleetTiming#storeConfirmationNanos}, counted from
 *       before the read was sent. No newer epoch existed at that time.
 *   <li>Every other member of e confirmed e within {@link FleetTiming#peerConfirmationNanos},
 *       counted from before the request was sent. This keeps the lease valid through a store outage
 *       of any length. A member confirms e only while it has not adopted a newer epoch. After it
 *       has adopted one, it enlarges its share only once all confirmations that it gave have
 *       expired.
 * </ul>
 *
 * <p>So a single member that has seen a newer epoch ends the older one for all members. This needs
 * neither a vote nor state that outlives the process.
 *
 * <p>After its start, a host waits for {@link FleetTiming#takeoverNanos} before it uses its share,
 * since it does not know what its former process confirmed. Thread-safe.
 */
public final class ShareLease {
    private final String mSelf;
    private final FleetTiming mTiming;
    private final Ticker mTicker;
    private final long mStartedAt;

    private Assignment mAssignment = Assignment.NONE;
    private long mAdoptedAt;
    private double mPreviousFraction;
    private boolean mSettled;
    private long mSettledAt;
    private long mPreviousReleasedEpoch;
    private long mStoreConfirmedAt;
    private boolean mStoreConfirmed;
    private final Map<String, Long> mPeerConfirmations = new HashMap<>();
    private final Set<String> mReleasedBy = new HashSet<>();
    private final Set<String> mRemovedHosts = new HashSet<>();

    /** Creates the lease of the host {@code self}, whose process has started now. */
    public ShareLease(String self, FleetTiming timing, Ticker ticker) {
        mSelf = self;
        mTiming = timing;
        mTicker = ticker;
        mStartedAt = ticker.nanoTime();
    }

    /** Adopts a newer assignment; ignores any other and returns false. */
    public synchronized boolean adopt(Assignment assignment) {
        if (assignment.epoch() <= mAssignment.epoch()) {
            return false;
        }
        long now = mTicker.nanoTime();
        mPreviousFraction = usableFraction();
        mPreviousReleasedEpoch = releasedEpoch();
        mAssignment = assignment;
        mAdoptedAt = now;
        mSettled = false;
        mStoreConfirmed = false;
        mPeerConfirmations.clear();
        mReleasedBy.clear();
        updateSettled(now);
        return true;
    }

    /** Records that a read of the store, sent at {@code sentAt}, returned {@code epoch}. */
    public synchronized void recordStoreConfirmation(long sentAt, long epoch) {
        if (epoch != mAssignment.epoch()) {
            return;
        }
        if (!mStoreConfirmed || sentAt - mStoreConfirmedAt > 0) {
            mStoreConfirmedAt = sentAt;
            mStoreConfirmed = true;
        }
    }

    /** Returns whether this host confirms {@code epoch} to a peer that uses its share under it. */
    public synchronized boolean confirmsEpoch(long epoch) {
        return epoch == mAssignment.epoch() && hasWaitedAfterStart(mTicker.nanoTime());
    }

    /**
     * Records that {@code peer} confirmed {@code epoch} on a request sent at {@code requestedAt}.
     */
    public synchronized void recordPeerConfirmation(String peer, long epoch, long requestedAt) {
        if (epoch == mAssignment.epoch()) {
            mPeerConfirmations.merge(peer, requestedAt, (a, b) -> b - a > 0 ? b : a);
        }
    }

    /**
     * Records that {@code peer} no longer uses its share under any epoch older than {@code epoch}.
     * If {@code settled}, the peer knows that no other host does so either.
     */
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

    /** Replaces the set of hosts that have been removed from the platform's host list. */
    public synchronized void setRemovedHosts(Set<String> hosts) {
        mRemovedHosts.clear();
        mRemovedHosts.addAll(hosts);
    }

    /** Returns the part of each rate that this host may use now; 0 without a valid lease. */
    public synchronized double fraction() {
        return remainingNanos() > 0 ? usableFraction() : 0;
    }

    /**
     * Returns the part of each rate that this host may use now and that has belonged to it ever
     * since {@code since}.
     */
    public synchronized double fractionHeldSince(long since) {
        if (remainingNanos() <= 0) {
            return 0;
        }
        boolean heldThroughout = isSettled() && since - mSettledAt >= 0;
        double currentFraction = usableFraction();
        return heldThroughout ? currentFraction : Math.min(currentFraction, mPreviousFraction);
    }

    /** Returns how long the lease lasts without a further confirmation, in nanoseconds. */
    public synchronized long remainingNanos() {
        long now = mTicker.nanoTime();
        if (!hasWaitedAfterStart(now) || !mAssignment.contains(mSelf)) {
            return 0;
        }
        long storeRemaining =
                mStoreConfirmed ? mStoreConfirmedAt + mTiming.storeConfirmationNanos() - now : 0;
        return Math.max(0, Math.max(storeRemaining, peerConfirmationRemaining(now)));
    }

    private long peerConfirmationRemaining(long now) {
        long shortest = mTiming.peerConfirmationNanos();
        for (String other : mAssignment.otherMembers(mSelf)) {
            if (mRemovedHosts.contains(other)) {
                continue;
            }
            Long requestedAt = mPeerConfirmations.get(other);
            if (requestedAt == null) {
                return 0;
            }
            shortest = Math.min(shortest, requestedAt + mTiming.peerConfirmationNanos() - now);
        }
        return shortest;
    }

    private double usableFraction() {
        double currentFraction = mAssignment.fraction(mSelf);
        return isSettled() ? currentFraction : Math.min(currentFraction, mPreviousFraction);
    }

    /** Returns whether no host can use its share under an older epoch than the adopted one. */
    public synchronized boolean isSettled() {
        updateSettled(mTicker.nanoTime());
        return mSettled;
    }

    private void updateSettled(long now) {
        if (mSettled || mAssignment.epoch() == 0) {
            return;
        }
        boolean allReleased = true;
        boolean allRemoved = true;
        for (String other : mAssignment.otherPreviousMembers(mSelf)) {
            boolean removed = mRemovedHosts.contains(other);
            allReleased &= mReleasedBy.contains(other);
            allRemoved &= removed;
        }
        boolean waited = now - mAdoptedAt >= mTiming.takeoverNanos();
        // A previous member has not confirmed the older epoch to anyone since it adopted this one.
        boolean withheldConfirmation = mAssignment.previous().contains(mSelf);
        mSettled = allReleased || (waited && (withheldConfirmation || allRemoved));
        mSettledAt = now;
    }

    /**
     * Returns the epoch such that this host no longer uses its share under any older one. The
     * delegations that it made under older epochs, and the blocks granted under them, have expired.
     */
    public synchronized long releasedEpoch() {
        boolean delegationsExpired =
                mTicker.nanoTime() - mAdoptedAt >= mTiming.delegationExpiryNanos();
        return delegationsExpired ? mAssignment.epoch() : mPreviousReleasedEpoch;
    }

    public synchronized Assignment assignment() {
        return mAssignment;
    }

    private boolean hasWaitedAfterStart(long now) {
        return now - mStartedAt >= mTiming.takeoverNanos();
    }
}
