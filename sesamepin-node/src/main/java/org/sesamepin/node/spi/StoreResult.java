package org.sesamepin.node.spi;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a transaction.
 *
 * @param revision revision of the store after the call; a committed write has it as its own
 * @param committed whether all comparisons held and the writes took effect
 * @param entries what was read instead, when they did not
 */
public record StoreResult(long revision, boolean committed, List<StoreEntry> entries) {
    /** Returns the entry for {@code key} among those read, or null. */
    public @Nullable StoreEntry entry(String key) {
        for (StoreEntry entry : entries) {
            if (entry.key().equals(key)) {
                return entry;
            }
        }
        return null;
    }
}
