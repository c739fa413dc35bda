package org.sesamepin.core.stream;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * The streams that one host began lately, with the software that began them. Old ones are dropped,
 * and the oldest beyond a number. Not thread-safe.
 */
public final class RecentStreams {
    private record Entry(String service, StreamRecord record, long beganAt) {}

    private final int mMaxStreams;
    private final Map<Long, Entry> mStreams = new LinkedHashMap<>();

    /** Creates an empty table of at most {@code maxStreams} streams. */
    public RecentStreams(int maxStreams) {
        mMaxStreams = maxStreams;
    }

    /**
     * Adds a stream that begins and returns its record. A name that began streams at two versions
     * names neither.
     *
     * @param key digest of the stream
     * @param retentionNanos age at which streams are dropped
     */
    public StreamRecord add(long key, TargetSoftware software, long now, long retentionNanos) {
        dropOld(now - retentionNanos);
        StreamRecord record = new StreamRecord(key, software);
        Entry former = mStreams.remove(key);
        if (former != null && !former.record().equals(record)) {
            record = StreamRecord.ambiguous(key);
        }
        mStreams.put(key, new Entry(software.service(), record, now));
        return record;
    }

    private void dropOld(long until) {
        Iterator<Entry> oldest = mStreams.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = oldest.next().beganAt() - until < 0;
            if (!isOld && mStreams.size() < mMaxStreams) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the record of a stream, or null when this host has not begun it lately. */
    public @Nullable StreamRecord find(long key) {
        Entry entry = mStreams.get(key);
        return entry == null ? null : entry.record();
    }

    /** Returns the records of the streams of {@code services}, the oldest first. */
    public List<StreamRecord> recordsOf(Collection<String> services) {
        return mStreams.values().stream()
                .filter(entry -> services.contains(entry.service()))
                .map(Entry::record)
                .toList();
    }

    /** Returns the number of streams that are kept. */
    public int size() {
        return mStreams.size();
    }
}
