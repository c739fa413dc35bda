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
 * Slots of one target at the host that grants them.
 *
 * <p>The target admits what comes, so its own queue is kept empty: at most as many requests as it
 * has slots are let through. An online request without a free slot takes one from batch work at
 * once; batch work leaves some slots free for bursts, by the operators' preference. Ownership is
 * not exclusive: two hosts that both believe to own a target during a change of the view overcommit
 * it for a moment, which costs latency and no promise. Thread-safe.
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

    private final String mSelf;
    private final LongSupplier mIds;
    private final Map<Long, Slot> mSlots = new HashMap<>();
    private final FairQueue<OnlineRequest> mQueue = new FairQueue<>();
    private final BurstMeter mBursts = new BurstMeter(PEAK_WINDOW_NANOS);
    private int mCapacity;
    private Preference mPreference;

    /** Creates a ledger at the host {@code self} for a target with {@code capacity} slots. */
    public SlotAllocator(String self, int capacity, Preference preference, LongSupplier ids) {
        mSelf = self;
        mCapacity = capacity;
        mPreference = preference;
        mIds = ids;
    }

    /** Takes over the capacity and the preference of a new bundle. */
    public synchronized void configure(int capacity, Preference preference) {
        mCapacity = capacity;
        mPreference = preference;
    }

    /** Asks for a slot for an online request: granted, queued, or granted after a preemption. */
    public synchronized List<SlotDecision> requestSlot(OnlineRequest request, long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        if (mQueue.isEmpty() && takeFor(request, now, decisions)) {
            return decisions;
        }
        if (request.deadlineNanos() - now <= 0) {
            decisions.add(new SlotDecision.Reject(request));
            return decisions;
        }
        mQueue.add(request.customer(), request.cost(), 1, request);
        return decisions;
    }

    private boolean takeFor(OnlineRequest request, long now, List<SlotDecision> decisions) {
        if (mSlots.size() >= mCapacity) {
            @Nullable Slot victim = leastWorkLost();
            if (victim == null) {
                return false;
            }
            mSlots.remove(victim.mId);
            decisions.add(new SlotDecision.Preempt(victim.mId));
        }
        Slot slot = new Slot(mIds.getAsLong(), false, request.entryHost(), now);
        mSlots.put(slot.mId, slot);
        mBursts.inUse(online(), now);
        decisions.add(new SlotDecision.Grant(request, slot.mId));
        return true;
    }

    private @Nullable Slot leastWorkLost() {
        return mSlots.values().stream()
                .filter(s -> s.mBatch)
                .max(Comparator.comparingLong(s -> s.mStartedAt))
                .orElse(null);
    }

    /** Frees a slot; an unknown one is ignored. */
    public synchronized List<SlotDecision> releaseSlot(long slotId, long now) {
        mSlots.remove(slotId);
        mBursts.inUse(online(), now);
        return serveQueue(now);
    }

    /** Withdraws a waiting request, for example because its caller left. */
    public synchronized void withdraw(String requestId) {
        mQueue.removeIf(r -> r.requestId().equals(requestId));
    }

    private List<SlotDecision> serveQueue(long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        while (!mQueue.isEmpty() && hasRoom()) {
            @Nullable OnlineRequest next = mQueue.poll();
            if (next == null) {
                break;
            }
            if (next.deadlineNanos() - now <= 0) {
                decisions.add(new SlotDecision.Reject(next));
            } else {
                takeFor(next, now, decisions);
            }
        }
        return decisions;
    }

    private boolean hasRoom() {
        return mSlots.size() < mCapacity || mSlots.values().stream().anyMatch(s -> s.mBatch);
    }

    /** Drops what has expired: requests past their deadline and slots of silent hosts. */
    public synchronized List<SlotDecision> expire(long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        for (OnlineRequest late : mQueue.removeIf(r -> r.deadlineNanos() - now <= 0)) {
            decisions.add(new SlotDecision.Reject(late));
        }
        mSlots.values()
                .removeIf(
                        s -> !s.mHost.equals(mSelf) && now - s.mRenewedAt > RENEWAL_TIMEOUT_NANOS);
        mBursts.inUse(online(), now);
        decisions.addAll(serveQueue(now));
        return decisions;
    }

    /**
     * Notes that {@code host} still uses slots; ones that a former owner granted are taken over.
     */
    public synchronized void renewSlots(String host, Collection<Long> slotIds, long now) {
        for (long id : slotIds) {
            Slot slot = mSlots.computeIfAbsent(id, i -> new Slot(i, false, host, now));
            slot.mRenewedAt = now;
        }
    }

    /** Returns how many batch items may start now. */
    public synchronized int freeForBatch(long now) {
        if (!mQueue.isEmpty()) {
            return 0;
        }
        int headroom = mPreference.headroom(mCapacity, mBursts.peakAbove(online(), now));
        return Math.max(0, mCapacity - mSlots.size() - headroom);
    }

    /** Takes a slot for a batch item; 0 when an online request has taken the room meanwhile. */
    public synchronized long acquireBatchSlot(long now) {
        if (mSlots.size() >= mCapacity) {
            return 0;
        }
        Slot slot = new Slot(mIds.getAsLong(), true, mSelf, now);
        mSlots.put(slot.mId, slot);
        return slot.mId;
    }

    /** Returns how many slots an online request could have at once. */
    public synchronized int freeForOnline() {
        return mCapacity - online() - mQueue.size();
    }

    public synchronized int batchRunning() {
        return mSlots.size() - online();
    }

    public synchronized int queued() {
        return mQueue.size();
    }

    private int online() {
        return (int) mSlots.values().stream().filter(s -> !s.mBatch).count();
    }
}
