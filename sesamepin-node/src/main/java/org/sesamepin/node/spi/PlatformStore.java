package org.sesamepin.node.spi;

import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's key-value service. Every future may fail with a {@link
 * org.sesamepin.core.error.SesamepinException}; a failed write may have taken effect.
 */
public interface PlatformStore extends AutoCloseable {
    /** Reads all of {@code reads} in one call, from one revision. */
    Future<StoreResult> read(List<StoreRead> reads);

    /** Commits a transaction. */
    Future<StoreResult> commit(StoreTransaction transaction);

    /** Grants a lease and returns its id. */
    Future<Long> grantLease(long ttlSeconds);

    /** Renews a lease; false when it has ended. */
    Future<Boolean> keepAlive(long lease);

    /** Ends a lease and removes its keys. */
    Future<Void> revokeLease(long lease);

    @Override
    void close();
}
