package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.membership.FleetTiming;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.core.time.Ticker;

/**
 * Delegates this host's share of the customers' rates to coordinators. It keeps track of the
 * delegations that may still be valid, so that this host uses its share for a customer only after
 * every delegation that covers the customer has expired.
 */
public final class ShareDelegator {
    /**
     * Reply to a coordinator that requests this host's share.
     *
     * @param validNanos how long the share is delegated, counted from when the request was sent; 0
     *     if it is not delegated
     * @param fraction part of each rate that is delegated
     * @param formerDelegations how long delegations under former views, and blocks granted under
     *     them, may remain valid, in nanoseconds by coordinator
     * @param previousView this host's former view; empty if the view changed more than once
     *     recently
     * @param viewNumber number of this host's view; changes with each change of the view
     */
    public record Reply(
            long validNanos,
            double fraction,
            Map<String, Long> formerDelegations,
            List<String> previousView,
            long viewNumber) {
        /** Reply that delegates nothing. */
        public static final Reply NOT_DELEGATED = new Reply(0, 0, Map.of(), List.of(), 0);
    }

    private record Delegation(String coordinator, List<String> view, long expiresAt) {}

    private final ShareLease mLease;
    private final FleetTiming mTiming;
    private final Ticker mTicker;

    private volatile List<Delegation> mDelegations = List.of();
    private List<String> mView = List.of();
    private List<String> mPreviousView = List.of();
    private long mViewChangedAt;
    private long mViewNumber;

    /** Creates the delegator of a host that has not delegated its share to anyone. */
    public ShareDelegator(ShareLease lease, FleetTiming timing, Ticker ticker) {
        mLease = lease;
        mTiming = timing;
        mTicker = ticker;
        mViewChangedAt = ticker.nanoTime();
        mViewNumber = mViewChangedAt;
    }

    /** Sets the view, the list of live hosts; an unchanged view has no effect. */
    public synchronized void setView(List<String> view) {
        if (view.equals(mView)) {
            return;
        }
        long now = mTicker.nanoTime();
        boolean formerDelegationsExpired = now - mViewChangedAt >= mTiming.delegationExpiryNanos();
        mPreviousView = formerDelegationsExpired ? mView : List.of();
        mView = List.copyOf(view);
        mViewChangedAt = now;
        mViewNumber++;
    }

    /**
     * Handles the request of a coordinator that has {@code view}. The share is delegated if both
     * hosts have the same view and this host holds a valid lease on its share.
     */
    public synchronized Reply delegate(String coordinator, List<String> view) {
        if (!view.equals(mView)) {
            return Reply.NOT_DELEGATED;
        }
        long now = mTicker.nanoTime();
        long validNanos = Math.min(mTiming.peerConfirmationNanos(), mLease.remainingNanos());
        double fraction = mLease.fraction();
        if (validNanos <= 0 || fraction <= 0) {
            return Reply.NOT_DELEGATED;
        }
        List<Delegation> delegations = new ArrayList<>();
        for (Delegation delegation : mDelegations) {
            boolean renewed =
                    delegation.coordinator().equals(coordinator) && delegation.view().equals(view);
            if (!renewed && delegation.expiresAt() - now > 0) {
                delegations.add(delegation);
            }
        }
        long expiresAt = now + mTiming.delegationExpiryNanos();
        delegations.add(new Delegation(coordinator, mView, expiresAt));
        mDelegations = List.copyOf(delegations);
        return new Reply(
                validNanos, fraction, remainingUnderFormerViews(now), mPreviousView, mViewNumber);
    }

    private Map<String, Long> remainingUnderFormerViews(long now) {
        Map<String, Long> remaining = new HashMap<>();
        for (Delegation delegation : mDelegations) {
            if (!delegation.view().equals(mView)) {
                remaining.merge(delegation.coordinator(), delegation.expiresAt() - now, Math::max);
            }
        }
        return remaining;
    }

    /**
     * Returns the fraction that this host could use itself for {@code customer} during the whole
     * interval [{@code since}, {@code now}]; 0 if a delegation covered the customer then.
     */
    public double fractionHeldThroughout(String customer, long since, long now) {
        for (Delegation delegation : mDelegations) {
            boolean covers =
                    delegation.coordinator().equals(Rendezvous.owner(customer, delegation.view()));
            if (covers && delegation.expiresAt() - since > 0) {
                return 0;
            }
        }
        return mLease.fractionHeldSince(since);
    }
}
