package org.sesamepin.node.spi;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A transaction on the store: writes that take effect only if all comparisons hold, and keys that
 * are read if one does not. The methods that add to it return the transaction itself.
 */
public final class StoreTransaction {
    /**
     * A condition on the revision of a key's last change.
     *
     * @param key the key
     * @param modRevision the expected revision; 0 for a key that does not exist
     */
    public record Compare(String key, long modRevision) {}

    /**
     * A write or deletion of a key.
     *
     * @param key the key
     * @param value the new value; empty for a deletion
     * @param lease id of the lease whose end deletes the key; 0 for none
     * @param delete whether the key is deleted
     */
    public record Write(String key, byte[] value, long lease, boolean delete) {}

    private final List<Compare> mCompares = new ArrayList<>();
    private final List<Write> mWrites = new ArrayList<>();
    private final List<StoreRead> mElseReads = new ArrayList<>();

    /** Adds the condition that the key does not exist. */
    public StoreTransaction ifAbsent(String key) {
        return ifUnchanged(key, 0);
    }

    /** Adds the condition that the key was last changed at revision {@code modRevision}. */
    public StoreTransaction ifUnchanged(String key, long modRevision) {
        mCompares.add(new Compare(key, modRevision));
        return this;
    }

    /** Adds a write of a text, encoded as UTF-8. */
    public StoreTransaction put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Adds a write of a value that is deleted when {@code lease} ends; 0 for no lease. */
    public StoreTransaction put(String key, byte[] value, long lease) {
        mWrites.add(new Write(key, value, lease, false));
        return this;
    }

    /** Adds the deletion of a key. */
    public StoreTransaction delete(String key) {
        mWrites.add(new Write(key, new byte[0], 0, true));
        return this;
    }

    /** Adds a read of a key, which is done if a comparison does not hold. */
    public StoreTransaction elseRead(String key) {
        mElseReads.add(StoreRead.of(key));
        return this;
    }

    public List<Compare> compares() {
        return mCompares;
    }

    public List<Write> writes() {
        return mWrites;
    }

    public List<StoreRead> elseReads() {
        return mElseReads;
    }
}
