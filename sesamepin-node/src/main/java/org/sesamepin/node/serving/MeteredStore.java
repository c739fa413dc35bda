package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.function.Function;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/** Forwards calls to a store and counts them by purpose, kind and outcome. */
final class MeteredStore implements WatchableStore {
    private final WatchableStore mStore;
    private final FleetProtocol mProtocol;
    private final StoreCallLog mCalls;

    MeteredStore(WatchableStore store, FleetProtocol protocol, StoreCallLog calls) {
        mStore = store;
        mProtocol = protocol;
        mCalls = calls;
    }

    private <T> Future<T> count(StoreCallPurpose purpose, String kind, Future<T> call) {
        mCalls.recordSent(purpose);
        return call.onComplete(result -> mCalls.recordEnd(purpose, kind, result.succeeded()));
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        return count(StoreCallPurpose.ofRead(prefix, mProtocol), "list", mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        return count(
                StoreCallPurpose.ofRead(prefix, mProtocol),
                "watch",
                mStore.watch(prefix, revision, waitMs));
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return count(StoreCallPurpose.ofWrite(transaction), "commit", mStore.commit(transaction));
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return count(StoreCallPurpose.LEASE, "lease-grant", mStore.grantLeaseMs(ttlMs));
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return count(StoreCallPurpose.LEASE, "lease-renewal", mStore.keepAlive(lease));
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return count(StoreCallPurpose.LEASE, "lease-end", mStore.revokeLease(lease));
    }

    @Override
    public void reconnect() {
        mStore.reconnect();
    }

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return count(StoreCallPurpose.RELAY, "relay", mStore.relay(call));
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
