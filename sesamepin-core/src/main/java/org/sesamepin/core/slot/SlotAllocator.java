package org.sesamepin.core.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Preference;

/**
 * Allocates the slots of one target, at the host that owns the target.
 *
 * <p>The target admits every request that it receives, so its own queue is kept empty: at most as
 * many requests as it has slots are granted. An online request that finds no free slot preempts a
 * batch item at once. Batch items leave some slots free for bursts, as set by the operators'
 * preference. Ownership is not exclusive: during a change of the view, two hosts may both consider
 * themselves the owner and overcommit the target for a moment. That costs latency but breaks no
 * guarantee. Thread-safe.
 */
public final class SlotAllocator {
    private static final long RENEWAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long PEAK_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final class Slot {
        private final long mId;
        private final boolean mBatch;
        private final String mHost;
        private final long mStartedAt;
        private long mRenewedAt;

        Slot(long id, boolean batch, String host, long now) {
            mId = id;
            mBatch = batch;
            mHost = host;
            mStartedAt = now;
            mRenewedAt = now;
        }
    }

    private final String mOwnHost;
    private final LongSupplier mSlotIds;
    private final Map<Long, Slot> mSlots = new HashMap<>();
    private final FairQueue<OnlineRequest> mQueue = new FairQueue<>();
    private final BurstMeter mOnlineBursts = new BurstMeter(PEAK_WINDOW_NANOS);
    private int mCapacity;
    private Preference mPreference;

    /**
     * Creates an allocator at the host {@code ownHost} for a target with {@code capacity} slots.
     */
    public SlotAllocator(
            String ownHost, int capacity, Preference preference, LongSupplier slotIds) {
        mOwnHost = ownHost;
        mCapacity = capacity;
        mPreference = preference;
        mSlotIds = slotIds;
    }

    /** Applies the capacity and the preference of a new bundle. */
    public synchronized void configure(int capacity, Preference preference) {
        mCapacity = capacity;
        mPreference = preference;
    }

    /**
     * Requests a slot for an online request. It is granted, granted after a preemption, queued, or
     * rejected when its deadline has passed. No decision is returned for a queued request.
     */
    public synchronized List<SlotDecision> requestSlot(OnlineRequest request, long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        if (mQueue.isEmpty() && grantSlot(request, now, decisions)) {
            return decisions;
        }
        if (request.deadlineNanos() - now <= 0) {
            decisions.add(new SlotDecision.Reject(request));
            return decisions;
        }
        mQueue.add(request.customer(), request.cost(), 1, request);
        return decisions;
    }

    private boolean grantSlot(OnlineRequest request, long now, List<SlotDecision> decisions) {
        if (mSlots.size() >= mCapacity) {
            @Nullable Slot victim = newestBatchSlot();
            if (victim == null) {
                return false;
            }
            mSlots.remove(victim.mId);
            decisions.add(new SlotDecision.Preempt(victim.mId));
        }
        Slot slot = new Slot(mSlotIds.getAsLong(), false, request.entryHost(), now);
        mSlots.put(slot.mId, slot);
        mOnlineBursts.recordInUse(onlineRunning(), now);
        decisions.add(new SlotDecision.Grant(request, slot.mId));
        return true;
    }

    private @Nullable Slot newestBatchSlot() {
        return mSlots.values().stream()
                .filter(s -> s.mBatch)
                .max(Comparator.comparingLong(s -> s.mStartedAt))
                .orElse(null);
    }

    /** Releases a slot; an unknown slot is ignored. Returns the decisions on queued requests. */
    public synchronized List<SlotDecision> releaseSlot(long slotId, long now) {
        mSlots.remove(slotId);
        mOnlineBursts.recordInUse(onlineRunning(), now);
        return grantQueued(now);
    }

    /** Removes a queued request, for example because its caller has left. */
    public synchronized void withdraw(String requestId) {
        mQueue.removeIf(r -> r.requestId().equals(requestId));
    }

    private List<SlotDecision> grantQueued(long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        while (!mQueue.isEmpty() && hasFreeOrBatchSlot()) {
            @Nullable OnlineRequest next = mQueue.poll();
            if (next == null) {
                break;
            }
            if (next.deadlineNanos() - now <= 0) {
                decisions.add(new SlotDecision.Reject(next));
            } else {
                grantSlot(next, now, decisions);
            }
        }
        return decisions;
    }

    private boolean hasFreeOrBatchSlot() {
        return mSlots.size() < mCapacity || mSlots.values().stream().anyMatch(s -> s.mBatch);
    }

    /**
     * Rejects requests past their deadline and frees the slots of hosts that have stopped renewing.
     */
    public synchronized List<SlotDecision> expire(long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        for (OnlineRequest expired : mQueue.removeIf(r -> r.deadlineNanos() - now <= 0)) {
            decisions.add(new SlotDecision.Reject(expired));
        }
        mSlots.values()
                .removeIf(
                        s ->
                                !s.mHost.equals(mOwnHost)
                                        && now - s.mRenewedAt > RENEWAL_TIMEOUT_NANOS);
        mOnlineBursts.recordInUse(onlineRunning(), now);
        decisions.addAll(grantQueued(now));
        return decisions;
    }

    /**
     * Renews slots that {@code host} still uses. Unknown slots were granted by a former owner and
     * are taken over as slots of online requests.
     */
    public synchronized void renewSlots(String host, Collection<Long> slotIds, long now) {
        for (long id : slotIds) {
            Slot slot = mSlots.computeIfAbsent(id, i -> new Slot(i, false, host, now));
            slot.mRenewedAt = now;
        }
    }

    /** Returns the number of batch items that may start now. */
    public synchronized int freeForBatch(long now) {
        if (!mQueue.isEmpty()) {
            return 0;
        }
        int headroom =
                mPreference.headroom(mCapacity, mOnlineBursts.peakAbove(onlineRunning(), now));
        return Math.max(0, mCapacity - mSlots.size() - headroom);
    }

    /**
     * Acquires a slot for a batch item; returns its id, or 0 when online requests have taken the
     * free slots in the meantime.
     */
    public synchronized long acquireBatchSlot(long now) {
        if (mSlots.size() >= mCapacity) {
            return 0;
        }
        Slot slot = new Slot(mSlotIds.getAsLong(), true, mOwnHost, now);
        mSlots.put(slot.mId, slot);
        return slot.mId;
    }

    /**
     * Returns the number of slots that online requests could get immediately: those free or used by
     * batch items, less the queued requests. May be negative.
     */
    public synchronized int freeForOnline() {
        return mCapacity - onlineRunning() - mQueue.size();
    }

    public synchronized int batchRunning() {
        return mSlots.size() - onlineRunning();
    }

    public synchronized int queued() {
        return mQueue.size();
    }

    private int onlineRunning() {
        return (int) mSlots.values().stream().filter(s -> !s.mBatch).count();
    }
}
