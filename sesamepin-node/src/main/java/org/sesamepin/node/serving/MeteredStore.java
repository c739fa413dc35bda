package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.function.Function;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/** Forwards calls to a store and counts them by kind and outcome. */
final class MeteredStore implements WatchableStore {
    private final WatchableStore mStore;
    private final ServingMetrics mMetrics;

    MeteredStore(WatchableStore store, ServingMetrics metrics) {
        mStore = store;
        mMetrics = metrics;
    }

    private <T> Future<T> count(String kind, Future<T> call) {
        return call.onComplete(
                result ->
                        mMetrics.countStoreCall(kind, result.succeeded() ? "answered" : "failed"));
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        return count("list", mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        return count("watch", mStore.watch(prefix, revision, waitMs));
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return count("commit", mStore.commit(transaction));
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return count("lease-grant", mStore.grantLeaseMs(ttlMs));
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return count("lease-renewal", mStore.keepAlive(lease));
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return count("lease-end", mStore.revokeLease(lease));
    }

    @Override
    public void reconnect() {
        mStore.reconnect();
    }

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return count("relay", mStore.relay(call));
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
