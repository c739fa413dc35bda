package org.sesamepin.node.spi;

import java.nio.charset.StandardCharsets;

/**
 * A key with its value in the platform's store.
 *
 * @param key the key
 * @param value the value; empty when only keys were asked for
 * @param modRevision revision of the last change, for comparisons
 */
public record StoreEntry(String key, byte[] value, long modRevision) {
    /** Returns the value as text in UTF-8. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
