package org.sesamepin.node.spi;

import io.vertx.core.Future;
import java.util.function.Function;

/**
 * A key-value service whose changes can be watched. Every future may fail with a {@link
 * org.sesamepin.core.error.SesamepinException}; a failed write may have taken effect, or may take
 * effect later as long as its conditions hold.
 */
public interface WatchableStore extends AutoCloseable {
    /** Lists all entries below {@code prefix}, linearizable as of each page. */
    Future<StoreListing> list(String prefix);

    /** Waits for changes below {@code prefix} after {@code revision}, at most {@code waitMs}. */
    Future<StoreChanges> watch(String prefix, long revision, long waitMs);

    /** Commits a transaction. */
    Future<StoreResult> commit(StoreTransaction transaction);

    /** Grants a lease of about {@code ttlMs} and returns its id. */
    Future<Long> grantLeaseMs(long ttlMs);

    /** Renews a lease; false when it has ended. */
    Future<Boolean> keepAlive(long lease);

    /** Ends a lease and removes its keys. */
    Future<Void> revokeLease(long lease);

    /** Replaces all connections: one of them was found silent, and the others may be as well. */
    void reconnect();

    /** Makes a raw call for another host, always directly. */
    Future<StoreRelayCall.Reply> relay(StoreRelayCall call);

    /** Sets the way through other hosts that is taken while the store turns this host away. */
    void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> detour);

    /** Tells whether the last direct calls were answered. */
    boolean isDirectlyReachable();

    @Override
    void close();
}
