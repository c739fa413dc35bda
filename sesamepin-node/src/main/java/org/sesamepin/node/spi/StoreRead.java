package org.sesamepin.node.spi;

/**
 * One read inside a call to the store.
 *
 * @param key the key, or the prefix
 * @param prefix whether all keys that start with it are wanted
 * @param keysOnly whether the values are left out
 */
public record StoreRead(String key, boolean prefix, boolean keysOnly) {
    /** Reads one key. */
    public static StoreRead of(String key) {
        return new StoreRead(key, false, false);
    }

    /** Reads all keys that start with {@code prefix}. */
    public static StoreRead ofPrefix(String prefix) {
        return new StoreRead(prefix, true, false);
    }
}
