package org.sesamepin.core.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Decides which records a host writes to the store, and when: one write at a time, with an interval
 * between two. Records are grouped in buckets, one value each, that take further records for a
 * short time and are removed when they are old.
 *
 * <p>Whatever the store does late is harmless: the values of one bucket only grow, and a bucket
 * whose write has no known outcome is never written again; its records go into the next one. Not
 * thread-safe.
 */
public final class RecordJournal {
    /** Records that wait for a write; more of them are dropped, and their streams not found. */
    private static final int MAX_PENDING = 100_000;

    private static final int MAX_RECORDS_PER_WRITE = 4_000;
    private static final int MAX_REMOVALS_PER_WRITE = 30;

    /** Retention times after which a bucket is removed though no records are to be written. */
    private static final int MAX_RETENTIONS = 4;

    /**
     * One write.
     *
     * @param bucket name of the bucket to write; null when buckets are only removed
     * @param records all records that the bucket holds afterwards
     * @param removals names of the buckets to remove
     */
    public record Write(
            @Nullable String bucket, List<StreamRecord> records, List<String> removals) {}

    private record Bucket(String name, long openedAt, List<StreamRecord> records) {}

    private record OldBucket(String name, long closedAt) {}

    private final LongFunction<String> mBucketNames;
    private final long mBucketNanos;
    private final Map<Long, StreamRecord> mPending = new LinkedHashMap<>();

    /** Keys of the pending records that a first event waits for. */
    private final Set<Long> mAwaited = new HashSet<>();

    private final Deque<OldBucket> mOldBuckets = new ArrayDeque<>();
    private @Nullable Bucket mOpen;
    private @Nullable Bucket mInFlight;
    private @Nullable Write mWriteInFlight;
    private long mBuckets;
    private long mLastWriteAt;
    private boolean mHasWritten;

    /**
     * Creates an empty journal.
     *
     * @param bucketNames returns the name of the bucket with a number; never the name of another
     *     bucket of any host or process
     * @param bucketNanos how long a bucket takes further records
     */
    public RecordJournal(LongFunction<String> bucketNames, long bucketNanos) {
        mBucketNames = bucketNames;
        mBucketNanos = bucketNanos;
    }

    /** Adds a record that is to be written, and that no event waits for any more. */
    public void add(StreamRecord record) {
        if (mPending.size() < MAX_PENDING || mPending.containsKey(record.key())) {
            mPending.put(record.key(), record);
            mAwaited.remove(record.key());
        }
    }

    /** Adds a record that is to be written, unless it waits for a write already. */
    public void addUnlessPending(StreamRecord record) {
        if (!record.equals(mPending.get(record.key()))) {
            add(record);
        }
    }

    /**
     * Adds a record that a first event waits for. Such records are not dropped: there are no more
     * of them than calls that wait, if those that wait no longer are withdrawn.
     */
    public void addAwaited(StreamRecord record) {
        mPending.put(record.key(), record);
        mAwaited.add(record.key());
    }

    /** Removes the record that a first event has waited for and that is not needed any more. */
    public void withdraw(long key) {
        if (mAwaited.remove(key)) {
            mPending.remove(key);
        }
    }

    /** Returns whether the record of a stream is not certain to be in the store. */
    public boolean isPending(long key) {
        return mPending.containsKey(key);
    }

    /** Returns the number of records that are not certain to be in the store. */
    public int pending() {
        return mPending.size();
    }

    /**
     * Returns the time until the next write may begin, nanoseconds; 0 when it may begin now, and -1
     * when nothing is to be written or a write is in flight.
     *
     * @param interval least time between two writes
     * @param awaitedInterval the same while first events wait for a record
     */
    public long delayNanos(long now, long interval, long awaitedInterval) {
        if (mWriteInFlight != null || mPending.isEmpty()) {
            return -1;
        }
        long intervalNanos = mAwaited.isEmpty() ? interval : awaitedInterval;
        long sinceLast = now - mLastWriteAt;
        return mHasWritten && sinceLast < intervalNanos ? intervalNanos - sinceLast : 0;
    }

    /**
     * Returns the next write, or null when there is none; its outcome has to be reported.
     *
     * @param retentionNanos age at which buckets are removed
     */
    public @Nullable Write next(long now, long retentionNanos) {
        if (mWriteInFlight != null) {
            return null;
        }
        List<String> removals = oldNames(now, retentionNanos);
        if (mPending.isEmpty() && !isRemovalDue(removals, now, retentionNanos)) {
            return null;
        }
        mLastWriteAt = now;
        mHasWritten = true;
        Bucket bucket = mPending.isEmpty() ? null : extend(bucketFor(now));
        mInFlight = bucket;
        Write write =
                new Write(
                        bucket == null ? null : bucket.name(),
                        bucket == null ? List.of() : bucket.records(),
                        removals);
        mWriteInFlight = write;
        return write;
    }

    /** Returns whether old buckets are removed by a write of their own. */
    private boolean isRemovalDue(List<String> removals, long now, long retentionNanos) {
        OldBucket oldest = mOldBuckets.peek();
        boolean isOverdue =
                oldest != null && now - oldest.closedAt() >= MAX_RETENTIONS * retentionNanos;
        return isOverdue || removals.size() >= MAX_REMOVALS_PER_WRITE;
    }

    private Bucket bucketFor(long now) {
        Bucket open = mOpen;
        boolean isOpen =
                open != null
                        && now - open.openedAt() < mBucketNanos
                        && open.records().size() < MAX_RECORDS_PER_WRITE;
        if (open != null && isOpen) {
            return open;
        }
        closeOpen(now);
        return new Bucket(mBucketNames.apply(++mBuckets), now, List.of());
    }

    private void closeOpen(long now) {
        Bucket open = mOpen;
        mOpen = null;
        if (open != null) {
            mOldBuckets.add(new OldBucket(open.name(), now));
        }
    }

    private Bucket extend(Bucket bucket) {
        List<StreamRecord> records = new ArrayList<>(bucket.records());
        for (StreamRecord record : mPending.values()) {
            if (records.size() >= MAX_RECORDS_PER_WRITE) {
                break;
            }
            records.add(record);
        }
        return new Bucket(bucket.name(), bucket.openedAt(), records);
    }

    private List<String> oldNames(long now, long retentionNanos) {
        Bucket open = mOpen;
        if (open != null && now - open.openedAt() >= mBucketNanos) {
            closeOpen(now);
        }
        return mOldBuckets.stream()
                .filter(bucket -> now - bucket.closedAt() >= retentionNanos)
                .limit(MAX_REMOVALS_PER_WRITE)
                .map(OldBucket::name)
                .toList();
    }

    /** Records that the store has carried out the write in flight. */
    public void onStored() {
        Bucket bucket = mInFlight;
        Write write = mWriteInFlight;
        mInFlight = null;
        mWriteInFlight = null;
        if (write != null) {
            Set<String> removed = new HashSet<>(write.removals());
            mOldBuckets.removeIf(old -> removed.contains(old.name()));
        }
        if (bucket != null) {
            mOpen = bucket;
            bucket.records().forEach(this::removePending);
        }
    }

    private void removePending(StreamRecord record) {
        if (mPending.remove(record.key(), record)) {
            mAwaited.remove(record.key());
        }
    }

    /** Records that the store has carried out a write after all that was taken for failed. */
    public void onStoredLate(Write write) {
        write.records().forEach(this::removePending);
    }

    /** Records that the write in flight has failed; the store may carry it out yet. */
    public void onFailed(long now) {
        Bucket bucket = mInFlight;
        mInFlight = null;
        mWriteInFlight = null;
        if (bucket != null) {
            mOpen = null;
            mOldBuckets.add(new OldBucket(bucket.name(), now));
        }
    }
}
