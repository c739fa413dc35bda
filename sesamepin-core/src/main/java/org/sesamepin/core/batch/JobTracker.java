package org.sesamepin.core.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which items of one job are open, leased to a host, or final; kept by the job's owner.
 *
 * <p>An item gets its final result once; later results of other attempts are dropped. An item that
 * was in flight during repeated target failures is a suspect. Suspects run one at a time, so that a
 * further target failure is attributed to the right item. A suspect whose targets keep failing is
 * failed with an error, so that it does not bring down further targets. Not thread-safe.
 */
public final class JobTracker {
    /** Number of target failures after which an item is a suspect; one suspect runs at a time. */
    public static final int SUSPECT_AFTER_TARGET_FAILURES = 2;

    /** Number of target failures after which an item fails. */
    public static final int MAX_TARGET_FAILURES = 4;

    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final class Lease {
        private final String mHost;
        private long mRenewedAt;

        Lease(String host, long now) {
            mHost = host;
            mRenewedAt = now;
        }
    }

    private final int mItemCount;
    private final BitSet mFinalItems;
    private final Deque<Integer> mOpenItems = new ArrayDeque<>();
    private final Deque<Integer> mSuspects = new ArrayDeque<>();
    private final Map<Integer, Lease> mLeases = new HashMap<>();
    private final Map<Integer, Integer> mTargetFailuresByItem = new HashMap<>();
    private @Nullable Integer mRunningSuspect;

    /**
     * Creates a tracker for {@code items} items, of which those in {@code finalItems} are already
     * final.
     */
    public JobTracker(int items, BitSet finalItems) {
        mItemCount = items;
        mFinalItems = (BitSet) finalItems.clone();
        for (int i = mFinalItems.nextClearBit(0); i < items; i = mFinalItems.nextClearBit(i + 1)) {
            mOpenItems.add(i);
        }
    }

    /** Leases at most {@code max} open items to {@code host} and returns their indexes. */
    public List<Integer> lease(String host, int max, long now) {
        List<Integer> leased = new ArrayList<>();
        while (leased.size() < max) {
            Integer next = mOpenItems.poll();
            if (next == null) {
                next = nextSuspect();
            }
            if (next == null) {
                break;
            }
            mLeases.put(next, new Lease(host, now));
            leased.add(next);
        }
        return leased;
    }

    private @Nullable Integer nextSuspect() {
        if (mRunningSuspect != null) {
            return null;
        }
        mRunningSuspect = mSuspects.poll();
        return mRunningSuspect;
    }

    /** Records a final result. Returns false when the item is unknown or was already final. */
    public boolean complete(int index) {
        endLease(index);
        mOpenItems.remove(index);
        mSuspects.remove(index);
        if (index < 0 || index >= mItemCount || mFinalItems.get(index)) {
            return false;
        }
        mFinalItems.set(index);
        return true;
    }

    /** Reopens a leased item that did not end, without counting a target failure against it. */
    public void reopen(int index) {
        if (endLease(index) && !mFinalItems.get(index)) {
            requeue(index);
        }
    }

    /**
     * Records that a target failed while the item was in flight. Returns true when the caller has
     * to fail the item; otherwise the item is reopened.
     */
    public boolean recordTargetFailure(int index) {
        if (!endLease(index) || mFinalItems.get(index)) {
            return false;
        }
        int targetFailures = mTargetFailuresByItem.merge(index, 1, Integer::sum);
        if (targetFailures >= MAX_TARGET_FAILURES) {
            return true;
        }
        requeue(index);
        return false;
    }

    private void requeue(int index) {
        if (mTargetFailuresByItem.getOrDefault(index, 0) >= SUSPECT_AFTER_TARGET_FAILURES) {
            mSuspects.add(index);
        } else {
            mOpenItems.addFirst(index);
        }
    }

    private boolean endLease(int index) {
        if (mRunningSuspect != null && mRunningSuspect == index) {
            mRunningSuspect = null;
        }
        return mLeases.remove(index) != null;
    }

    /**
     * Renews the leases of the items that {@code host} still holds. The leases of its other items
     * expire, and the items are then reopened.
     */
    public void renewLeases(String host, Collection<Integer> indexes, long now) {
        Set<Integer> heldItems = new HashSet<>(indexes);
        mLeases.forEach(
                (index, lease) -> {
                    if (lease.mHost.equals(host) && heldItems.contains(index)) {
                        lease.mRenewedAt = now;
                    }
                });
    }

    /** Reopens the items whose leases have expired; returns their number. */
    public int expireLeases(long now) {
        List<Integer> expiredItems = new ArrayList<>();
        mLeases.forEach(
                (index, lease) -> {
                    if (now - lease.mRenewedAt > LEASE_NANOS) {
                        expiredItems.add(index);
                    }
                });
        expiredItems.forEach(this::reopen);
        return expiredItems.size();
    }

    /** Returns the number of items that can be leased now. */
    public int availableItems() {
        boolean hasRunnableSuspect = mRunningSuspect == null && !mSuspects.isEmpty();
        return mOpenItems.size() + (hasRunnableSuspect ? 1 : 0);
    }

    public int finishedItems() {
        return mFinalItems.cardinality();
    }

    public boolean isFinished() {
        return finishedItems() == mItemCount;
    }

    public int leasedItems() {
        return mLeases.size();
    }
}
