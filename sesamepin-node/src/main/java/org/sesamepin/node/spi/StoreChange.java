package org.sesamepin.node.spi;

import org.jspecify.annotations.Nullable;

/**
 * A change of one key in the store.
 *
 * @param key the changed key
 * @param entry the entry as it was written; null when the key was deleted
 * @param revision revision of the store at which the change took effect
 */
public record StoreChange(String key, @Nullable StoreEntry entry, long revision) {}
