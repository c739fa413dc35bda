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
 * This host's side of delegating its share: it remembers to whom the share may still belong, and
 * uses it for a customer only when no delegation that covers the customer can be in use any more.
 */
public final class ShareDelegator {
    /**
     * Answer to a coordinator that asks for this host's share.
     *
     * @param validNanos how long the share is delegated from when the question was sent; 0 for not
     * @param fraction part of each rate that is delegated
     * @param formerDelegations for how long delegations under former views, and blocks under them,
     *     may last yet, nanoseconds by coordinator
     * @param previousView its former view; empty when it had more than one of late
     * @param viewNumber changes with each change of this host's view
     */
    public record Reply(
            long validNanos,
            double fraction,
            Map<String, Long> formerDelegations,
            List<String> previousView,
            long viewNumber) {
        /** Answer that delegates nothing. */
        public static final Reply NOT_DELEGATED = new Reply(0, 0, Map.of(), List.of(), 0);
    }

    private record Lent(String coordinator, List<String> view, long endsAt) {}

    private final ShareLease mLease;
    private final FleetTiming mTiming;
    private final Ticker mTicker;

    private volatile List<Lent> mLent = List.of();
    private List<String> mView = List.of();
    private List<String> mPreviousView = List.of();
    private long mViewSince;
    private long mViewNumber;

    /** Creates the delegator of a host that has delegated nothing. */
    public ShareDelegator(ShareLease tenure, FleetTiming timing, Ticker ticker) {
        mLease = tenure;
        mTiming = timing;
        mTicker = ticker;
        mViewSince = ticker.nanoTime();
        mViewNumber = mViewSince;
    }

    /** Takes over a new view of the live hosts. */
    public synchronized void setView(List<String> view) {
        if (view.equals(mView)) {
            return;
        }
        long now = mTicker.nanoTime();
        boolean formerEnded = now - mViewSince >= mTiming.delegationExpiryNanos();
        mPreviousView = formerEnded ? mView : List.of();
        mView = List.copyOf(view);
        mViewSince = now;
        mViewNumber++;
    }

    /**
     * Answers a coordinator that has {@code view}. The share is delegated when the views agree and
     * this host may act for some time yet.
     */
    public synchronized Reply delegate(String coordinator, List<String> view) {
        if (!view.equals(mView)) {
            return Reply.NOT_DELEGATED;
        }
        long now = mTicker.nanoTime();
        long forNanos = Math.min(mTiming.peerConfirmationNanos(), mLease.remainingNanos());
        double fraction = mLease.fraction();
        if (forNanos <= 0 || fraction <= 0) {
            return Reply.NOT_DELEGATED;
        }
        List<Lent> next = new ArrayList<>();
        for (Lent lent : mLent) {
            boolean renewed = lent.coordinator().equals(coordinator) && lent.view().equals(view);
            if (!renewed && lent.endsAt() - now > 0) {
                next.add(lent);
            }
        }
        long endsAt = now + mTiming.delegationExpiryNanos();
        next.add(new Lent(coordinator, mView, endsAt));
        mLent = List.copyOf(next);
        return new Reply(forNanos, fraction, lentElsewhere(now), mPreviousView, mViewNumber);
    }

    private Map<String, Long> lentElsewhere(long now) {
        Map<String, Long> remaining = new HashMap<>();
        for (Lent lent : mLent) {
            if (!lent.view().equals(mView)) {
                remaining.merge(lent.coordinator(), lent.endsAt() - now, Math::max);
            }
        }
        return remaining;
    }

    /**
     * Returns the fraction that this host itself has been free to use for {@code customer}
     * throughout [{@code since}, {@code now}].
     */
    public double fractionHeldThroughout(String customer, long since, long now) {
        for (Lent lent : mLent) {
            boolean covers = lent.coordinator().equals(Rendezvous.owner(customer, lent.view()));
            if (covers && lent.endsAt() - since > 0) {
                return 0;
            }
        }
        return mLease.fractionHeldSince(since);
    }
}
