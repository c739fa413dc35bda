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
 * Which items of one job are open, leased to a host, or final, at the job's owner.
 *
 * <p>An item is final once; later results of other attempts are dropped. An item that was in flight
 * when targets died more than once is a suspect: suspects run one at a time, so that the next death
 * is rightly blamed, and then fail with an error instead of taking further targets with them. Not
 * thread-safe.
 */
public final class JobTracker {
    /** Deaths of a target after which an item runs as the only suspect of its job. */
    public static final int SUSPECT_AFTER_TARGET_FAILURES = 2;

    /** Deaths of a target after which an item fails. */
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

    private final int mItems;
    private final BitSet mFinal;
    private final Deque<Integer> mOpen = new ArrayDeque<>();
    private final Deque<Integer> mSuspects = new ArrayDeque<>();
    private final Map<Integer, Lease> mLeases = new HashMap<>();
    private final Map<Integer, Integer> mDeaths = new HashMap<>();
    private @Nullable Integer mRunningSuspect;

    /** Creates a tracker for {@code items} items of which {@code done} are final already. */
    public JobTracker(int items, BitSet done) {
        mItems = items;
        mFinal = (BitSet) done.clone();
        for (int i = mFinal.nextClearBit(0); i < items; i = mFinal.nextClearBit(i + 1)) {
            mOpen.add(i);
        }
    }

    /** Leases at most {@code max} open items to {@code host}. */
    public List<Integer> lease(String host, int max, long now) {
        List<Integer> leased = new ArrayList<>();
        while (leased.size() < max) {
            Integer next = mOpen.poll();
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

    /** Notes a final result; returns false when the item was final before. */
    public boolean complete(int index) {
        unlease(index);
        mOpen.remove(index);
        mSuspects.remove(index);
        if (index < 0 || index >= mItems || mFinal.get(index)) {
            return false;
        }
        mFinal.set(index);
        return true;
    }

    /** Reopens an item that did not end, without blaming it. */
    public void reopen(int index) {
        if (unlease(index) && !mFinal.get(index)) {
            putBack(index);
        }
    }

    /**
     * Notes that a target died with the item in flight. Returns true when the item has to fail; it
     * is reopened otherwise.
     */
    public boolean recordTargetFailure(int index) {
        if (!unlease(index) || mFinal.get(index)) {
            return false;
        }
        int deaths = mDeaths.merge(index, 1, Integer::sum);
        if (deaths >= MAX_TARGET_FAILURES) {
            return true;
        }
        putBack(index);
        return false;
    }

    private void putBack(int index) {
        if (mDeaths.getOrDefault(index, 0) >= SUSPECT_AFTER_TARGET_FAILURES) {
            mSuspects.add(index);
        } else {
            mOpen.addFirst(index);
        }
    }

    private boolean unlease(int index) {
        if (mRunningSuspect != null && mRunningSuspect == index) {
            mRunningSuspect = null;
        }
        return mLeases.remove(index) != null;
    }

    /** Notes which items {@code host} holds; items it no longer holds are reopened in time. */
    public void renewLeases(String host, Collection<Integer> indexes, long now) {
        Set<Integer> held = new HashSet<>(indexes);
        mLeases.forEach(
                (index, lease) -> {
                    if (lease.mHost.equals(host) && held.contains(index)) {
                        lease.mRenewedAt = now;
                    }
                });
    }

    /** Reopens the items whose leases were not renewed; returns how many. */
    public int expireLeases(long now) {
        List<Integer> ended = new ArrayList<>();
        mLeases.forEach(
                (index, lease) -> {
                    if (now - lease.mRenewedAt > LEASE_NANOS) {
                        ended.add(index);
                    }
                });
        ended.forEach(this::reopen);
        return ended.size();
    }

    /** Returns the number of items that a host could lease now. */
    public int availableItems() {
        boolean suspect = mRunningSuspect == null && !mSuspects.isEmpty();
        return mOpen.size() + (suspect ? 1 : 0);
    }

    public int finishedItems() {
        return mFinal.cardinality();
    }

    public boolean isFinished() {
        return finishedItems() == mItems;
    }

    public int leasedItems() {
        return mLeases.size();
    }
}
