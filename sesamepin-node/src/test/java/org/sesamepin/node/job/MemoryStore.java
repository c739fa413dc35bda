package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRejectedException;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * In-memory store with conditional transactions, watches and injected faults of writes. Not
 * thread-safe.
 */
public final class MemoryStore implements WatchableStore {
    /** Fault of a write. */
    public enum Fault {
        NONE,
        /** The write takes effect, but its answer is lost. */
        ANSWER_LOST,
        /** The write has no effect, and its outcome is unknown to the caller. */
        LOST,
        /** The write is rejected and has no effect. */
        REFUSED,
        /** The outcome is unknown to the caller; {@link #applyLateWrites} carries out the write. */
        LATE
    }

    private static final int PAYLOAD_TOO_LARGE = 413;

    private record PendingWatch(String prefix, long afterRevision, Promise<StoreChanges> promise) {}

    private final TreeMap<String, StoreEntry> mEntries = new TreeMap<>();
    private final List<StoreChange> mHistory = new ArrayList<>();
    private final List<PendingWatch> mPendingWatches = new ArrayList<>();
    private final List<Fault> mNextFaults = new ArrayList<>();
    private final List<StoreTransaction> mLateWrites = new ArrayList<>();
    private final Map<String, Long> mLeaseByKey = new HashMap<>();
    private final Set<Long> mLeases = new HashSet<>();
    private long mRevision = 1;
    private long mLastLease;
    private int mCommits;
    private int mMaxValueBytes = Integer.MAX_VALUE;
    private int mRejectedWrites;
    private int mFailingLists;
    private @Nullable Promise<Void> mHeldList;
    private Supplier<Fault> mFaultSource = () -> Fault.NONE;

    /** Creates an empty store. */
    public MemoryStore() {}

    /** Sets the faults of the next writes, in their order. */
    public void injectFaults(Fault... faults) {
        mNextFaults.addAll(List.of(faults));
    }

    /** Sets the source of the faults of writes for which none was injected. */
    public void setFaultSource(Supplier<Fault> faultSource) {
        mFaultSource = faultSource;
    }

    /** Sets the size beyond which values are rejected for good, bytes. */
    public void setMaxValueBytes(int maxValueBytes) {
        mMaxValueBytes = maxValueBytes;
    }

    /** Returns the number of transactions that were rejected for good. */
    public int rejectedWrites() {
        return mRejectedWrites;
    }

    /** Makes the next {@code count} reads of lists fail. */
    public void failNextLists(int count) {
        mFailingLists = count;
    }

    /** Reads the next list at once, and answers it when the returned promise is completed. */
    public Promise<Void> holdNextList() {
        Promise<Void> release = Promise.promise();
        mHeldList = release;
        return release;
    }

    /** Carries out the writes with the fault {@link Fault#LATE} whose conditions hold now. */
    public void applyLateWrites() {
        List<StoreTransaction> late = List.copyOf(mLateWrites);
        mLateWrites.clear();
        for (StoreTransaction transaction : late) {
            if (mLeases.containsAll(leasesOf(transaction))) {
                apply(transaction);
            }
        }
        completeWatches();
    }

    private static List<Long> leasesOf(StoreTransaction transaction) {
        return transaction.writes().stream()
                .map(StoreTransaction.Write::lease)
                .filter(lease -> lease != 0)
                .toList();
    }

    /** Ends a lease and deletes its keys. */
    public void expireLease(long lease) {
        mLeases.remove(lease);
        StoreTransaction deletion = new StoreTransaction();
        mLeaseByKey.forEach(
                (key, keyLease) -> {
                    if (keyLease == lease) {
                        deletion.delete(key);
                    }
                });
        if (!deletion.writes().isEmpty()) {
            apply(deletion);
            completeWatches();
        }
    }

    /** Ends the lease under which {@code key} is written, if there is one. */
    public void expireLeaseOf(String key) {
        Long lease = mLeaseByKey.get(key);
        if (lease != null) {
            expireLease(lease);
        }
    }

    /** Returns the number of transactions that hosts have sent so far. */
    public int commits() {
        return mCommits;
    }

    /** Returns the lease of a key; 0 when it has none. */
    public long leaseOf(String key) {
        return mLeaseByKey.getOrDefault(key, 0L);
    }

    /** Returns the value of a key as text; empty when the key does not exist. */
    public String textOf(String key) {
        StoreEntry entry = mEntries.get(key);
        return entry == null ? "" : entry.text();
    }

    /** Returns the number of keys that start with {@code prefix}. */
    public long countKeys(String prefix) {
        return mEntries.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        if (mFailingLists > 0) {
            mFailingLists--;
            return fail(Execution.NOT_RUN);
        }
        List<StoreEntry> found =
                mEntries.values().stream().filter(e -> e.key().startsWith(prefix)).toList();
        StoreListing listing = new StoreListing(mRevision, found);
        Promise<Void> release = mHeldList;
        mHeldList = null;
        return release == null ? Future.succeededFuture(listing) : release.future().map(listing);
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        Promise<StoreChanges> promise = Promise.promise();
        mPendingWatches.add(new PendingWatch(prefix, revision, promise));
        completeWatches();
        return promise.future();
    }

    private void completeWatches() {
        for (PendingWatch watch : List.copyOf(mPendingWatches)) {
            List<StoreChange> changes =
                    mHistory.stream()
                            .filter(change -> change.revision() > watch.afterRevision())
                            .filter(change -> change.key().startsWith(watch.prefix()))
                            .toList();
            // Completing a watch may start the next one, whose nested call of this method may have
            // completed this watch already.
            if (!changes.isEmpty() && mPendingWatches.remove(watch)) {
                watch.promise().complete(new StoreChanges(mRevision, changes, false));
            }
        }
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        mCommits++;
        Fault fault = mNextFaults.isEmpty() ? mFaultSource.get() : mNextFaults.remove(0);
        if (fault == Fault.REFUSED) {
            return fail(Execution.NOT_RUN);
        }
        if (isTooLarge(transaction)) {
            mRejectedWrites++;
            return Future.failedFuture(
                    new StoreRejectedException(Step.STORE_WRITE, PAYLOAD_TOO_LARGE));
        }
        if (fault == Fault.LOST) {
            return fail(Execution.UNKNOWN);
        }
        if (fault == Fault.LATE) {
            mLateWrites.add(transaction);
            return fail(Execution.UNKNOWN);
        }
        if (!mLeases.containsAll(leasesOf(transaction))) {
            return fail(Execution.NOT_RUN);
        }
        StoreResult result = apply(transaction);
        completeWatches();
        boolean isAnswerLost = fault == Fault.ANSWER_LOST;
        return isAnswerLost ? fail(Execution.UNKNOWN) : Future.succeededFuture(result);
    }

    private boolean isTooLarge(StoreTransaction transaction) {
        return transaction.writes().stream()
                .anyMatch(write -> write.value().length > mMaxValueBytes);
    }

    private static <T> Future<T> fail(Execution execution) {
        return Future.failedFuture(
                new SesamepinException(Step.STORE_WRITE, "store", execution, "scripted", null));
    }

    private StoreResult apply(StoreTransaction transaction) {
        List<StoreEntry> found = new ArrayList<>();
        boolean allHold = true;
        for (StoreTransaction.Compare compare : transaction.compares()) {
            StoreEntry entry = mEntries.get(compare.key());
            allHold &= (entry == null ? 0 : entry.modRevision()) == compare.modRevision();
            if (entry != null) {
                found.add(entry);
            }
        }
        if (!allHold) {
            return new StoreResult(mRevision, false, found);
        }
        mRevision++;
        for (StoreTransaction.Write write : transaction.writes()) {
            StoreEntry entry =
                    write.delete() ? null : new StoreEntry(write.key(), write.value(), mRevision);
            mLeaseByKey.remove(write.key());
            if (entry == null) {
                mEntries.remove(write.key());
            } else {
                mEntries.put(write.key(), entry);
            }
            if (write.lease() != 0) {
                mLeaseByKey.put(write.key(), write.lease());
            }
            mHistory.add(new StoreChange(write.key(), entry, mRevision));
        }
        return new StoreResult(mRevision, true, List.of());
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        mLeases.add(++mLastLease);
        return Future.succeededFuture(mLastLease);
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return Future.succeededFuture(mLeases.contains(lease));
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        expireLease(lease);
        return Future.succeededFuture();
    }

    @Override
    public void reconnect() {}

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return fail(Execution.NOT_RUN);
    }

    @Override
    public void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> relay) {}

    @Override
    public boolean isDirectlyReachable() {
        return true;
    }

    @Override
    public void close() {}
}
