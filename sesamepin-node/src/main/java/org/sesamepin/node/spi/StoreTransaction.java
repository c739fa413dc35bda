package org.sesamepin.node.spi;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Comparisons and the writes that take effect when all of them hold; built step by step. */
public final class StoreTransaction {
    /**
     * A comparison of a key's last change.
     *
     * @param key the key
     * @param modRevision the revision expected; 0 for a key that does not exist
     */
    public record Compare(String key, long modRevision) {}

    /**
     * A write.
     *
     * @param key the key
     * @param value the new value
     * @param lease the lease that removes the key when it ends; 0 for none
     * @param delete whether the key is removed instead
     */
    public record Write(String key, byte[] value, long lease, boolean delete) {}

    private final List<Compare> mCompares = new ArrayList<>();
    private final List<Write> mWrites = new ArrayList<>();
    private final List<StoreRead> mElseReads = new ArrayList<>();

    /** Requires that the key does not exist. */
    public StoreTransaction ifAbsent(String key) {
        return ifUnchanged(key, 0);
    }

    /** Requires that the key was last changed at {@code modRevision}. */
    public StoreTransaction ifUnchanged(String key, long modRevision) {
        mCompares.add(new Compare(key, modRevision));
        return this;
    }

    /** Writes a text. */
    public StoreTransaction put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Writes a value that goes away with {@code lease}; 0 keeps it. */
    public StoreTransaction put(String key, byte[] value, long lease) {
        mWrites.add(new Write(key, value, lease, false));
        return this;
    }

    /** Removes a key. */
    public StoreTransaction delete(String key) {
        mWrites.add(new Write(key, new byte[0], 0, true));
        return this;
    }

    /** Reads this when a comparison does not hold. */
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
