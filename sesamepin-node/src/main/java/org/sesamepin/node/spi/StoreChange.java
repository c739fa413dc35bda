package org.sesamepin.node.spi;

import org.jspecify.annotations.Nullable;

/**
 * A change of one key.
 *
 * @param key the key
 * @param entry the entry as it was written; null when the key was removed
 * @param revision revision of the change
 */
public record StoreChange(String key, @Nullable StoreEntry entry, long revision) {}
