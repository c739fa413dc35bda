package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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

/** An in-memory store whose watches complete only when the test completes them. */
final class ScriptedStore implements WatchableStore {
    private final TreeMap<String, StoreEntry> mEntries = new TreeMap<>();
    private final Deque<Promise<StoreChanges>> mWatches = new ArrayDeque<>();
    private final List<Long> mWatchedFrom = new ArrayList<>();
    private long mRevision = 10;
    private int mListCalls;
    private Execution mExecutionOfRelays = Execution.NOT_RUN;

    /** Writes a key without notifying the pending watch. */
    void write(String key, String value) {
        mRevision++;
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        mEntries.put(key, new StoreEntry(key, bytes, mRevision));
    }

    /** Sets what relayed calls fail with. */
    void failRelaysWith(Execution execution) {
        mExecutionOfRelays = execution;
    }

    /** Completes the pending watch with the current entry of {@code key}. */
    void deliverChange(String key) {
        StoreEntry entry = mEntries.get(key);
        StoreChange change = new StoreChange(key, entry, mRevision);
        nextWatch().complete(new StoreChanges(mRevision, List.of(change), false));
    }

    /** Fails the pending watch. */
    void failWatch() {
        nextWatch().fail("connection reset");
    }

    /**
     * Completes the pending watch with the statement that the changes since its revision are lost.
     */
    void loseHistory() {
        nextWatch().complete(new StoreChanges(mRevision, List.of(), true));
    }

    private Promise<StoreChanges> nextWatch() {
        Promise<StoreChanges> watch = mWatches.poll();
        if (watch == null) {
            throw new IllegalStateException("no watch is pending");
        }
        return watch;
    }

    int listCalls() {
        return mListCalls;
    }

    List<Long> watchedFrom() {
        return mWatchedFrom;
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        mListCalls++;
        List<StoreEntry> found =
                mEntries.values().stream().filter(e -> e.key().startsWith(prefix)).toList();
        return Future.succeededFuture(new StoreListing(mRevision, found));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        mWatchedFrom.add(revision);
        Promise<StoreChanges> watch = Promise.promise();
        mWatches.add(watch);
        return watch.future();
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return Future.failedFuture("not supported by this store");
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return Future.succeededFuture(1L);
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
        return Future.failedFuture(
                new SesamepinException(
                        Step.STORE_WRITE, "store", mExecutionOfRelays, "scripted", null));
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
