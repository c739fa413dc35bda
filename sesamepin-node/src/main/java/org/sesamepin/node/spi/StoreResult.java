package org.sesamepin.node.spi;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Result of a read or a transaction.
 *
 * @param revision revision of the store after the call, which is also that of the committed writes
 * @param committed whether all comparisons of the transaction held and its writes took effect
 * @param entries entries read; of a transaction, those read because a comparison did not hold
 */
public record StoreResult(long revision, boolean committed, List<StoreEntry> entries) {
    /** Returns the entry for {@code key} among those read, or null when it was not found. */
    public @Nullable StoreEntry entry(String key) {
        for (StoreEntry entry : entries) {
            if (entry.key().equals(key)) {
                return entry;
            }
        }
        return null;
    }
}
