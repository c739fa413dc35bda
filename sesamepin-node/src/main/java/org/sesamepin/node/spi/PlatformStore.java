package org.sesamepin.node.spi;

import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's key-value store. Every future may fail with a {@link
 * org.sesamepin.core.error.SesamepinException}; a write whose future fails may have taken effect.
 */
public interface PlatformStore extends AutoCloseable {
    /** Performs all of {@code reads} in one call and at one revision of the store. */
    Future<StoreResult> read(List<StoreRead> reads);

    /** Commits a transaction; the result tells whether its writes took effect. */
    Future<StoreResult> commit(StoreTransaction transaction);

    /** Creates a lease with a time to live in seconds and returns its id. */
    Future<Long> grantLease(long ttlSeconds);

    /** Renews a lease; returns false when it has ended already. */
    Future<Boolean> keepAlive(long lease);

    /** Revokes a lease, which deletes its keys. */
    Future<Void> revokeLease(long lease);

    @Override
    void close();
}
