package org.sesamepin.node.spi;

/**
 * One of the reads of a call to the store.
 *
 * @param key the key to read, or the prefix of the keys to read
 * @param prefix whether {@code key} is a prefix and all keys that start with it are read
 * @param keysOnly whether only keys are returned, without values
 */
public record StoreRead(String key, boolean prefix, boolean keysOnly) {
    /** Returns a read of one key. */
    public static StoreRead of(String key) {
        return new StoreRead(key, false, false);
    }

    /** Returns a read of all keys that start with {@code prefix}. */
    public static StoreRead ofPrefix(String prefix) {
        return new StoreRead(prefix, true, false);
    }
}
