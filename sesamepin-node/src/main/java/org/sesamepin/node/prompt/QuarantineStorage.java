package org.sesamepin.node.prompt;

import io.vertx.core.Future;
import java.util.function.Function;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Where the quarantine of prompts lies in the store.
 *
 * @param keyPrefix prefix of its keys
 * @param commit commits a transaction
 */
public record QuarantineStorage(
        String keyPrefix, Function<StoreTransaction, Future<StoreResult>> commit) {}
