package org.sesamepin.node.spi;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a transaction.
 *
 * @param committed whether all comparisons held and the writes took effect
 * @param read what was read instead, when they did not
 */
public record StoreResult(boolean committed, List<StoreEntry> read) {
    /** Returns the entry for {@code key} among those read, or null. */
    public @Nullable StoreEntry entry(String key) {
        for (StoreEntry entry : read) {
            if (entry.key().equals(key)) {
                return entry;
            }
        }
        return null;
    }
}
