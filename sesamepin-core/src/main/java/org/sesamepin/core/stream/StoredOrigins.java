package org.sesamepin.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * What the store told in one listing: the stated versions, and the records of all hosts. Not
 * thread-safe.
 */
public final class StoredOrigins {
    private final Map<TargetSoftware, Long> mStated = new HashMap<>();
    private final Map<Long, StreamRecord> mRecords = new HashMap<>();

    /** Creates an empty listing. */
    public StoredOrigins() {}

    /**
     * Adds a stated version.
     *
     * @param revision revision of the store at which the statement was last written
     */
    public void addStatement(TargetSoftware software, long revision) {
        mStated.put(software, revision);
    }

    /** Adds a record; two records of one stream that differ leave it unknown. */
    public void addRecord(StreamRecord record) {
        StreamRecord former = mRecords.put(record.key(), record);
        if (former != null && !former.equals(record)) {
            mRecords.put(record.key(), StreamRecord.ambiguous(record.key()));
        }
    }

    /** Returns the stated versions with the revisions of their statements. */
    public Map<TargetSoftware, Long> stated() {
        return mStated;
    }

    /** Returns the record of a stream, or null. */
    public @Nullable StreamRecord recorded(long key) {
        return mRecords.get(key);
    }

    /** Returns the number of records. */
    public int recordCount() {
        return mRecords.size();
    }

    /**
     * Returns the only software at which a stream of {@code services} can have begun that was begun
     * before this listing, or null when there is none or several.
     */
    public @Nullable TargetSoftware onlySoftware(Collection<String> services) {
        List<TargetSoftware> stated =
                mStated.keySet().stream().filter(s -> services.contains(s.service())).toList();
        return stated.size() == 1 ? stated.get(0) : null;
    }
}
