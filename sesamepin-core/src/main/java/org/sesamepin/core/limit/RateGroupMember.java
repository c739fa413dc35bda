package org.sesamepin.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.CustomerSpec;

/**
 * One host's part in a rate group: its own share, the shares that other holders have delegated to
 * it, and the token buckets that these refill. A share is used by at most one host at a time: the
 * leader counts a delegation from before it asked, the holder from when it handled the request. All
 * times are readings of the host's monotonic clock in nanoseconds. Not thread-safe.
 */
public final class RateGroupMember {
    /** Interval at which a leader asks for each share. */
    public static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final long DELEGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Longer than the delegation by 2%, for clocks that run at different speeds. */
    private static final long LENT_NANOS = DELEGATION_NANOS + DELEGATION_NANOS / 50;

    /** Part of the rate below which a host without tokens counts as recovering. */
    private static final double RECOVERING_BELOW = 0.5;

    /** Part of the burst with which a bucket starts: a former process may have spent the rest. */
    private static final double INITIAL_BURST_FRACTION = 0.5;

    private final String mSelf;
    private final HeldShares mHeld = new HeldShares();
    private final Map<String, FractionTokenBucket> mBuckets = new HashMap<>();
    private final GroupLeadership mLeadership;
    private List<String> mHolders = List.of();
    private double mOwnFraction;
    private double mFraction;
    private @Nullable String mLentTo;
    private long mLentUntil;
    private long mLentSequence;
    private long mSequence;
    private long mReleasedSequence;
    private boolean mStopping;

    /**
     * Creates a member that holds nothing.
     *
     * @param firstSequence number from which this process numbers its requests; above those of a
     *     former process of the same host
     */
    public RateGroupMember(String self, long firstSequence, long now) {
        mSelf = self;
        mSequence = firstSequence;
        mReleasedSequence = firstSequence;
        mLeadership = new GroupLeadership(self, now);
    }

    /** Replaces the holders, in the order in which they become leader. */
    public void setHolders(List<String> holders, long now) {
        if (holders.equals(mHolders)) {
            return;
        }
        settle(now);
        mHolders = holders;
        mOwnFraction = holders.contains(mSelf) ? 1.0 / holders.size() : 0;
        updateFraction(now);
    }

    /**
     * Keeps the host's own share unused until {@code until}, since it may be in use under another
     * assignment of customers to groups.
     */
    public void blockOwnShare(long until, long now) {
        advance(now);
        if (until - now > 0) {
            settle(now);
            mLentTo = "";
            mLentUntil = until;
            updateFraction(now);
        }
    }

    /** Returns until when the own share may be in use elsewhere; {@code now} if it is not. */
    public long lentUntil(long now) {
        advance(now);
        return mLentTo == null ? now : mLentUntil;
    }

    /**
     * Adds a customer or changes its limits.
     *
     * @param isNew whether no host can have admitted requests of this customer on behalf of this
     *     process; its bucket then starts with half of the burst that this host holds
     */
    public void putCustomer(CustomerSpec customer, boolean isNew, long now) {
        FractionTokenBucket bucket = mBuckets.get(customer.name());
        if (bucket != null && bucket.matches(customer.ratePerS(), customer.burst())) {
            return;
        }
        advance(now);
        double tokens = isNew ? customer.burst() * INITIAL_BURST_FRACTION * mFraction : 0;
        if (bucket != null) {
            bucket.refill(mFraction, now);
            tokens = bucket.tokens();
        }
        FractionTokenBucket changed =
                new FractionTokenBucket(customer.ratePerS(), customer.burst(), tokens, now);
        changed.cut(mFraction, now);
        mBuckets.put(customer.name(), changed);
    }

    /** Removes the buckets of all other customers. */
    public void retainCustomers(Set<String> customers) {
        mBuckets.keySet().retainAll(customers);
    }

    /** Decides on one request of {@code customer}. */
    public RateDecision admit(String customer, long now) {
        advance(now);
        boolean recovering = mFraction < RECOVERING_BELOW;
        FractionTokenBucket bucket = mBuckets.get(customer);
        if (bucket == null) {
            return new RateDecision(false, TimeUnit.SECONDS.toNanos(1), recovering);
        }
        bucket.refill(mFraction, now);
        return bucket.take()
                ? new RateDecision(true, 0, recovering)
                : new RateDecision(
                        false,
                        bucket.nanosUntilToken(Math.max(RECOVERING_BELOW, mFraction)),
                        recovering);
    }

    /**
     * Returns whether this host leads the group: no earlier holder is reachable, or none of them
     * has asked for this host's share for longer than a delegation is valid. Each reachable one
     * before this host gets one interval more to become leader.
     */
    public boolean updateLeading(Predicate<String> reachable, long now) {
        advance(now);
        int rank = mHolders.indexOf(mSelf);
        boolean isLentToEarlier =
                rank >= 0 && mLentTo != null && mHolders.subList(0, rank).contains(mLentTo);
        if (mStopping || rank < 0 || isLentToEarlier) {
            mLeadership.endLeading();
            return false;
        }
        return mLeadership.update(mHolders, reachable, LENT_NANOS, now);
    }

    /**
     * Returns the host that leads the group as far as this host knows: itself, or the one that uses
     * its share; null if it knows none.
     */
    public @Nullable String leader(long now) {
        if (isLeading()) {
            return mSelf;
        }
        advance(now);
        return mLentTo == null || mLentTo.isEmpty() ? null : mLentTo;
    }

    /** Returns whether this process is about to stop. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Returns whether this host led the group at the last {@link #updateLeading}. */
    public boolean isLeading() {
        return mLeadership.isLeading();
    }

    /** Returns the holders to ask now for their share, and records that they were asked. */
    public List<String> holdersToAsk(long now) {
        advance(now);
        return mLeadership.holdersToAsk(mHolders, mHeld::contains, now);
    }

    /** Returns the number of the next request that this host sends. */
    public long nextSequence() {
        return ++mSequence;
    }

    /**
     * Handles the request of {@code asker} for this host's share.
     *
     * @param sequence number of the request, rising within the asking process
     */
    public ShareAnswer onShareRequest(String asker, long sequence, long now) {
        advance(now);
        int rank = mHolders.indexOf(asker);
        int ownRank = mHolders.indexOf(mSelf);
        if (ownRank < 0 || rank < 0 || rank == ownRank) {
            return ShareAnswer.DENIED;
        }
        boolean isEarlier = rank < ownRank;
        if (isEarlier) {
            mLeadership.onEarlierHolder(asker, now);
        }
        boolean lentElsewhere = mLentTo != null && !mLentTo.equals(asker);
        if (lentElsewhere || (isLeading() && !isEarlier)) {
            return ShareAnswer.DENIED;
        }
        mLeadership.endLeading();
        boolean isRenewal = mLentTo != null;
        List<String> released = List.copyOf(mHeld.holders());
        Map<String, Double> tokens = Map.of();
        if (!isRenewal) {
            settle(now);
            tokens = drainBuckets();
            giveUpHeld();
            mLentTo = asker;
        }
        mLentUntil = now + LENT_NANOS;
        mLentSequence = sequence;
        updateFraction(now);
        return new ShareAnswer(
                true, mOwnFraction, tokens, isRenewal ? List.of() : released, mSequence);
    }

    /**
     * Takes the share that a holder delegated.
     *
     * @param sequence number of the request
     * @param sentAt when the request was sent, at the latest
     */
    public void onShareReply(
            String holder,
            long sequence,
            long sentAt,
            double fraction,
            Map<String, Double> tokens,
            long now) {
        advance(now);
        long until = sentAt + DELEGATION_NANOS;
        if (sequence <= mReleasedSequence || until - now <= 0) {
            return;
        }
        if (!mHeld.contains(holder)) {
            settle(now);
        }
        mHeld.put(holder, fraction, until);
        updateFraction(now);
        credit(tokens, now);
    }

    /** Handles the notice of {@code leader} that it no longer uses this host's share. */
    public void onRelease(String leader, long sequence, long now) {
        advance(now);
        // An older notice may arrive after the leader has asked anew.
        if (leader.equals(mLentTo) && sequence > mLentSequence) {
            settle(now);
            mLentTo = null;
            updateFraction(now);
        }
    }

    /** Gives up the delegations and all tokens, since this process is about to stop. */
    public ShareHandover stop(long now) {
        advance(now);
        settle(now);
        mStopping = true;
        mLeadership.endLeading();
        List<String> released = List.copyOf(mHeld.holders());
        Map<String, Double> tokens = drainBuckets();
        giveUpHeld();
        updateFraction(now);
        return new ShareHandover(tokens, released, mSequence);
    }

    /**
     * Takes the tokens of a leader that stops, and that gave up this host's share.
     *
     * @param sequence number of the message
     */
    public void onHandover(String leader, long sequence, Map<String, Double> tokens, long now) {
        mLeadership.onStopping(leader, now);
        onRelease(leader, sequence, now);
        credit(tokens, now);
    }

    /**
     * Returns the host that a request is passed on to which this host cannot decide: the one that
     * uses this host's share, or null.
     */
    public @Nullable String relayTarget(Predicate<String> reachable, long now) {
        String leader = leader(now);
        if (leader != null && !leader.equals(mSelf)) {
            return leader;
        }
        return mStopping ? successor(reachable, now) : null;
    }

    /** Returns the first reachable holder other than this host, or null. */
    public @Nullable String successor(Predicate<String> reachable, long now) {
        return mHolders.stream()
                .filter(
                        h ->
                                !h.equals(mSelf)
                                        && !mLeadership.isStopping(h, now)
                                        && reachable.test(h))
                .findFirst()
                .orElse(null);
    }

    /** Returns the part of the group's rates that this host may use, from 0 to 1. */
    public double fraction(long now) {
        advance(now);
        return mFraction;
    }

    private void giveUpHeld() {
        mReleasedSequence = ++mSequence;
        mHeld.clear();
        mLeadership.forgetAsked();
    }

    private Map<String, Double> drainBuckets() {
        Map<String, Double> tokens = new HashMap<>();
        mBuckets.forEach(
                (customer, bucket) -> {
                    double drained = bucket.drain();
                    if (drained > 0) {
                        tokens.put(customer, drained);
                    }
                });
        return tokens;
    }

    private void credit(Map<String, Double> tokens, long now) {
        tokens.forEach(
                (customer, count) -> {
                    FractionTokenBucket bucket = mBuckets.get(customer);
                    if (bucket != null) {
                        bucket.refill(mFraction, now);
                        bucket.credit(count, mFraction, now);
                    }
                });
    }

    /** Applies what has expired up to {@code now}, each at its time. */
    private void advance(long now) {
        while (true) {
            long first = mHeld.firstExpiry(now + 1);
            if (mLentTo != null && mLentUntil - first < 0) {
                first = mLentUntil;
            }
            if (first - now > 0) {
                return;
            }
            settle(first);
            mHeld.expire(first);
            if (mLentTo != null && first - mLentUntil >= 0) {
                mLentTo = null;
            }
            updateFraction(first);
        }
    }

    /** Refills all buckets with the fraction held so far. */
    private void settle(long now) {
        mBuckets.values().forEach(bucket -> bucket.refill(mFraction, now));
    }

    private void updateFraction(long now) {
        boolean usesOwn = mLentTo == null && !mStopping;
        mFraction = Math.min(1, (usesOwn ? mOwnFraction : 0) + mHeld.sum());
        mBuckets.values().forEach(bucket -> bucket.cut(mFraction, now));
    }
}
