package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Function;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * A store in memory with compare-and-swap, watches and faults of its writes; one thread uses it.
 */
final class MemoryStore implements WatchableStore {
    /** What happens to a write. */
    enum Fault {
        NONE,
        /** It is done, and its answer is lost. */
        ANSWER_LOST,
        /** It is not done, and nobody says so. */
        LOST,
        /** It is refused. */
        REFUSED
    }

    private record Waiting(String prefix, long after, Promise<StoreChanges> promise) {}

    private final TreeMap<String, StoreEntry> mEntries = new TreeMap<>();
    private final List<StoreChange> mHistory = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final List<Fault> mFaults = new ArrayList<>();
    private long mRevision = 1;
    private long mLeases;

    /** Sets what happens to the next writes, one after the other. */
    void next(Fault... faults) {
        mFaults.addAll(List.of(faults));
    }

    long count(String prefix) {
        return mEntries.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        List<StoreEntry> found =
                mEntries.values().stream().filter(e -> e.key().startsWith(prefix)).toList();
        return Future.succeededFuture(new StoreListing(mRevision, found));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        Promise<StoreChanges> promise = Promise.promise();
        mWaiting.add(new Waiting(prefix, revision, promise));
        wake();
        return promise.future();
    }

    private void wake() {
        for (Waiting waiting : List.copyOf(mWaiting)) {
            List<StoreChange> changes =
                    mHistory.stream()
                            .filter(change -> change.revision() > waiting.after())
                            .filter(change -> change.key().startsWith(waiting.prefix()))
                            .toList();
            // A watch that is answered here may have come back and been answered by a nested call.
            if (!changes.isEmpty() && mWaiting.remove(waiting)) {
                waiting.promise().complete(new StoreChanges(mRevision, changes, false));
            }
        }
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.remove(0);
        if (fault == Fault.REFUSED) {
            return fail(Execution.NOT_RUN);
        }
        if (fault == Fault.LOST) {
            return fail(Execution.UNKNOWN);
        }
        StoreResult result = apply(transaction);
        wake();
        boolean lost = fault == Fault.ANSWER_LOST;
        return lost ? fail(Execution.UNKNOWN) : Future.succeededFuture(result);
    }

    private static <T> Future<T> fail(Execution execution) {
        return Future.failedFuture(
                new SesamepinException(Step.STORE_WRITE, "store", execution, "scripted", null));
    }

    private StoreResult apply(StoreTransaction transaction) {
        List<StoreEntry> found = new ArrayList<>();
        boolean holds = true;
        for (StoreTransaction.Compare compare : transaction.compares()) {
            StoreEntry entry = mEntries.get(compare.key());
            holds &= (entry == null ? 0 : entry.modRevision()) == compare.modRevision();
            if (entry != null) {
                found.add(entry);
            }
        }
        if (!holds) {
            return new StoreResult(mRevision, false, found);
        }
        mRevision++;
        for (StoreTransaction.Write write : transaction.writes()) {
            StoreEntry entry =
                    write.delete() ? null : new StoreEntry(write.key(), write.value(), mRevision);
            if (entry == null) {
                mEntries.remove(write.key());
            } else {
                mEntries.put(write.key(), entry);
            }
            mHistory.add(new StoreChange(write.key(), entry, mRevision));
        }
        return new StoreResult(mRevision, true, List.of());
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return Future.succeededFuture(++mLeases);
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return Future.succeededFuture(true);
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return Future.succeededFuture();
    }

    @Override
    public void reconnect() {}

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return fail(Execution.NOT_RUN);
    }

    @Override
    public void setDetour(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> detour) {}

    @Override
    public boolean isDirectlyReachable() {
        return true;
    }

    @Override
    public void close() {}
}
