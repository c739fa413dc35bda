package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.membership.FleetTiming;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.membership.Tenure;
import org.sesamepin.core.time.Ticker;

/**
 * This host's side of delegating its share: it remembers to whom the share may still belong, and
 * uses it for a customer only when no delegation that covers the customer can be in use any more.
 */
public final class Delegator {
    /**
     * Answer to a coordinator that asks for this host's share.
     *
     * @param forNanos how long the share is delegated from when the question was sent; 0 for not
     * @param fraction part of each rate that is delegated
     * @param lentElsewhere for how long delegations under former views, and blocks under them, may
     *     last yet, nanoseconds by coordinator
     * @param previousView its former view; empty when it had more than one of late
     * @param viewNumber changes with each change of this host's view
     */
    public record Answer(
            long forNanos,
            double fraction,
            Map<String, Long> lentElsewhere,
            List<String> previousView,
            long viewNumber) {
        /** Answer that delegates nothing. */
        public static final Answer REFUSED = new Answer(0, 0, Map.of(), List.of(), 0);
    }

    private record Delegation(String coordinator, List<String> view, long expiresAt) {}

    private final Tenure mTenure;
    private final FleetTiming mTiming;
    private final Ticker mTicker;

    private volatile List<Delegation> mDelegations = List.of();
    private List<String> mView = List.of();
    private List<String> mPreviousView = List.of();
    private long mViewChangedAt;
    private long mViewNumber;

    /** Creates the delegator of a host that has delegated nothing. */
    public Delegator(Tenure tenure, FleetTiming timing, Ticker ticker) {
        mTenure = tenure;
        mTiming = timing;
        mTicker = ticker;
        mViewChangedAt = ticker.nanoTime();
        mViewNumber = mViewChangedAt;
    }

    /** Takes over a new view of the live hosts. */
    public synchronized void setView(List<String> view) {
        if (view.equals(mView)) {
            return;
        }
        long now = mTicker.nanoTime();
        boolean formerEnded = now - mViewChangedAt >= mTiming.delegationEndNanos();
        mPreviousView = formerEnded ? mView : List.of();
        mView = List.copyOf(view);
        mViewChangedAt = now;
        mViewNumber++;
    }

    /**
     * Answers a coordinator that has {@code view}. The share is delegated when the views agree and
     * this host may act for some time yet.
     */
    public synchronized Answer delegate(String coordinator, List<String> view) {
        if (!view.equals(mView)) {
            return Answer.REFUSED;
        }
        long now = mTicker.nanoTime();
        long forNanos = Math.min(mTiming.consentNanos(), mTenure.remainingNanos());
        double fraction = mTenure.fraction();
        if (forNanos <= 0 || fraction <= 0) {
            return Answer.REFUSED;
        }
        List<Delegation> next = new ArrayList<>();
        for (Delegation lent : mDelegations) {
            boolean renewed = lent.coordinator().equals(coordinator) && lent.view().equals(view);
            if (!renewed && lent.expiresAt() - now > 0) {
                next.add(lent);
            }
        }
        long endsAt = now + mTiming.delegationEndNanos();
        next.add(new Delegation(coordinator, mView, endsAt));
        mDelegations = List.copyOf(next);
        return new Answer(
                forNanos, fraction, remainingUnderFormerViews(now), mPreviousView, mViewNumber);
    }

    private Map<String, Long> remainingUnderFormerViews(long now) {
        Map<String, Long> remaining = new HashMap<>();
        for (Delegation lent : mDelegations) {
            if (!lent.view().equals(mView)) {
                remaining.merge(lent.coordinator(), lent.expiresAt() - now, Math::max);
            }
        }
        return remaining;
    }

    /**
     * Returns the fraction that this host itself has been free to use for {@code customer}
     * throughout [{@code since}, {@code now}].
     */
    public double heldThroughout(String customer, long since, long now) {
        for (Delegation lent : mDelegations) {
            boolean covers = lent.coordinator().equals(Rendezvous.owner(customer, lent.view()));
            if (covers && lent.expiresAt() - since > 0) {
                return 0;
            }
        }
        return mTenure.fractionThroughout(since);
    }
}
