package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * One node's way to a store, with a peer that the node knows under an address at which nothing
 * listens, as if the network between the two were cut.
 */
final class CutPeerStore implements WatchableStore {
    private static final String CLOSED_ADDRESS = "127.0.0.1:9";

    private final WatchableStore mStore;
    private final String mPeerKey;

    CutPeerStore(WatchableStore store, String peer) {
        mStore = store;
        mPeerKey = ServingKeys.host(peer);
    }

    private StoreEntry cut(StoreEntry entry) {
        if (!entry.key().equals(mPeerKey)) {
            return entry;
        }
        String value = new JsonObject(entry.text()).put("peer", CLOSED_ADDRESS).encode();
        return new StoreEntry(
                entry.key(), value.getBytes(StandardCharsets.UTF_8), entry.modRevision());
    }

    private StoreChange cut(StoreChange change) {
        StoreEntry entry = change.entry();
        return entry == null
                ? change
                : new StoreChange(change.key(), cut(entry), change.revision());
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        return mStore.list(prefix)
                .map(
                        listing ->
                                new StoreListing(
                                        listing.revision(),
                                        listing.entries().stream().map(this::cut).toList()));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        return mStore.watch(prefix, revision, waitMs).map(this::cut);
    }

    private StoreChanges cut(StoreChanges changes) {
        List<StoreChange> cut = changes.changes().stream().map(this::cut).toList();
        return new StoreChanges(changes.revision(), cut, changes.compacted());
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
