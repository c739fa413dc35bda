package org.sesamepin.node.spi;

import java.nio.charset.StandardCharsets;

/**
 * A key with its value in a store.
 *
 * @param key the key
 * @param value the value; empty when only keys were read
 * @param modRevision revision of the entry's last change, for comparisons in a transaction
 */
public record StoreEntry(String key, byte[] value, long modRevision) {
    /** Returns the value decoded as UTF-8 text. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
