package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * One node's way to a store. The watches of one prefix can be silent for good, and its listings can
 * take long; all else passes unchanged.
 */
final class FaultyStore implements WatchableStore {
    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final String mPrefix;
    private boolean mSilentWatches;
    private long mListDelayMs;
    private int mLists;

    FaultyStore(Vertx vertx, WatchableStore store, String prefix) {
        mVertx = vertx;
        mStore = store;
        mPrefix = prefix;
    }

    /** Lets no watch of the prefix that is pending, or is sent from now on, report anything. */
    void silenceWatches() {
        mSilentWatches = true;
    }

    /** Sets how long a listing of the prefix takes, milliseconds. */
    void setListDelayMs(long listDelayMs) {
        mListDelayMs = listDelayMs;
    }

    /** Returns the number of listings of the prefix that were sent. */
    int lists() {
        return mLists;
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        if (!prefix.equals(mPrefix)) {
            return mStore.list(prefix);
        }
        mLists++;
        if (mListDelayMs == 0) {
            return mStore.list(prefix);
        }
        return mVertx.timer(mListDelayMs, TimeUnit.MILLISECONDS).compose(t -> mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        Promise<StoreChanges> reply = Promise.promise();
        mStore.watch(prefix, revision, waitMs)
                .onComplete(
                        result -> {
                            if (!mSilentWatches || !prefix.equals(mPrefix)) {
                                reply.handle(result);
                            }
                        });
        return reply.future();
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return mStore.commit(transaction);
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return mStore.grantLeaseMs(ttlMs);
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return mStore.keepAlive(lease);
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return mStore.revokeLease(lease);
    }

    @Override
    public void reconnect() {
        mStore.reconnect();
    }

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return mStore.relay(call);
    }

    @Override
    public void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> relay) {
        mStore.setPeerRelay(relay);
    }

    @Override
    public boolean isDirectlyReachable() {
        return mStore.isDirectlyReachable();
    }

    @Override
    public void close() {
        mStore.close();
    }
}
