package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.function.Function;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/** Counts the calls to a store by kind and outcome. */
final class MeteredStore implements WatchableStore {
    private final WatchableStore mStore;
    private final ServingMetrics mMetrics;

    MeteredStore(WatchableStore store, ServingMetrics metrics) {
        mStore = store;
        mMetrics = metrics;
    }

    private <T> Future<T> counted(String kind, Future<T> call) {
        return call.onComplete(
                done -> mMetrics.storeCall(kind, done.succeeded() ? "answered" : "failed"));
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        return counted("list", mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        return counted("watch", mStore.watch(prefix, revision, waitMs));
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return counted("commit", mStore.commit(transaction));
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return counted("lease-grant", mStore.grantLeaseMs(ttlMs));
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return counted("lease-renewal", mStore.keepAlive(lease));
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return counted("lease-end", mStore.revokeLease(lease));
    }

    @Override
    public void reconnect() {
        mStore.reconnect();
    }

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return counted("relay", mStore.relay(call));
    }

    @Override
    public void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> detour) {
        mStore.setPeerRelay(detour);
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
