package org.sesamepin.node.spi;

import io.vertx.core.Future;
import java.util.function.Function;

/**
 * A key-value store whose changes can be watched. Every future may fail with a {@link
 * org.sesamepin.core.error.SesamepinException}; a write whose future fails may have taken effect,
 * or may take effect later if its conditions still hold then.
 */
public interface WatchableStore extends AutoCloseable {
    /** Lists all entries whose keys start with {@code prefix}; each page is a linearizable read. */
    Future<StoreListing> list(String prefix);

    /**
     * Waits for changes after {@code revision} of keys that start with {@code prefix}, for at most
     * {@code waitMs} milliseconds.
     */
    Future<StoreChanges> watch(String prefix, long revision, long waitMs);

    /** Commits a transaction; the result tells whether its writes took effect. */
    Future<StoreResult> commit(StoreTransaction transaction);

    /** Creates a lease with a time to live of about {@code ttlMs} milliseconds; returns its id. */
    Future<Long> grantLeaseMs(long ttlMs);

    /** Renews a lease; returns false when it has ended already. */
    Future<Boolean> keepAlive(long lease);

    /** Revokes a lease, which deletes its keys. */
    Future<Void> revokeLease(long lease);

    /**
     * Replaces all connections after one was found unresponsive, since the others may be as well.
     */
    void reconnect();

    /** Makes a raw call on behalf of another host; it is never relayed further. */
    Future<StoreRelayCall.Reply> relay(StoreRelayCall call);

    /**
     * Sets the function that relays calls through peers while the store rejects those of this host.
     */
    void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> relay);

    /** Returns whether the store responded to the last direct calls. */
    boolean isDirectlyReachable();

    @Override
    void close();
}
