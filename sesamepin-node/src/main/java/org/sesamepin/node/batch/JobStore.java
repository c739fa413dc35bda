package org.sesamepin.node.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.JobRecord;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;

/** Jobs and files in the platform's store. */
public final class JobStore {
    private static final ObjectMapper JSON =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    /**
     * A job as read, with the revisions that later writes compare.
     *
     * @param record the record
     * @param recordRevision revision of the record
     * @param fence highest fence so far; 0 for none
     * @param fenceRevision revision of the fence; 0 for none
     */
    public record StoredJob(
            JobRecord record, long recordRevision, long fence, long fenceRevision) {}

    private final PlatformStore mStore;

    /** Creates access to jobs in {@code store}. */
    public JobStore(PlatformStore store) {
        mStore = store;
    }

    /** Encodes a record. */
    public static String encode(JobRecord record) {
        try {
            return JSON.writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobRecord decode(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, JobRecord.class);
        } catch (JsonProcessingException e) {
            throw new SesamepinException(
                    Step.STORE_READ, "store", "damaged job record: " + e.getOriginalMessage());
        }
    }

    /** Creates a job unless it exists; returns the job as it is then. */
    public Future<JobRecord> create(JobRecord record) {
        String key = StoreKeys.jobRecord(record.id());
        StoreTransaction create =
                new StoreTransaction()
                        .ifAbsent(key)
                        .put(key, encode(record))
                        .put(StoreKeys.openJob(record.id()), record.customer())
                        .elseRead(key);
        return mStore.commit(create)
                .compose(
                        result -> {
                            StoreEntry entry = result.entry(key);
                            if (result.committed() || entry == null) {
                                return Future.succeededFuture(record);
                            }
                            return parse(entry.text());
                        });
    }

    private static Future<JobRecord> parse(String text) {
        try {
            return Future.succeededFuture(decode(text));
        } catch (SesamepinException e) {
            return Future.failedFuture(e);
        }
    }

    /** Reads a job; null when there is none. */
    public Future<@Nullable StoredJob> read(String jobId) {
        List<StoreRead> reads =
                List.of(
                        StoreRead.of(StoreKeys.jobRecord(jobId)),
                        StoreRead.of(StoreKeys.jobFencingToken(jobId)));
        return mStore.read(reads).compose(result -> stored(jobId, result));
    }

    private static Future<@Nullable StoredJob> stored(String jobId, StoreResult result) {
        StoreEntry record = result.entry(StoreKeys.jobRecord(jobId));
        if (record == null) {
            return Future.succeededFuture(null);
        }
        StoreEntry fence = result.entry(StoreKeys.jobFencingToken(jobId));
        long number = fence == null ? 0 : Long.parseLong(fence.text());
        long fenceRevision = fence == null ? 0 : fence.modRevision();
        return parse(record.text())
                .map(r -> new StoredJob(r, record.modRevision(), number, fenceRevision));
    }

    /** Raises the fence; returns its revision, or 0 when another host raised it first. */
    public Future<Long> takeOver(StoredJob job) {
        String key = StoreKeys.jobFencingToken(job.record().id());
        StoreTransaction raise =
                new StoreTransaction()
                        .ifUnchanged(key, job.fenceRevision())
                        .put(key, Long.toString(job.fence() + 1));
        return mStore.commit(raise).map(r -> r.committed() ? r.revision() : 0L);
    }

    /** Replaces the record if it is unchanged; tells whether it was. */
    public Future<Boolean> replace(StoredJob before, JobRecord after) {
        String key = StoreKeys.jobRecord(after.id());
        StoreTransaction change =
                new StoreTransaction()
                        .ifUnchanged(key, before.recordRevision())
                        .put(key, encode(after));
        if (after.status().isTerminal()) {
            change.delete(StoreKeys.openJob(after.id()));
        }
        return mStore.commit(change).map(StoreResult::committed);
    }

    /** Returns the ids of the jobs that have not ended. */
    public Future<List<String>> openJobs() {
        StoreRead read = new StoreRead(StoreKeys.OPEN_JOBS_PREFIX, true, true);
        return mStore.read(List.of(read))
                .map(
                        result ->
                                result.entries().stream()
                                        .map(
                                                e ->
                                                        e.key()
                                                                .substring(
                                                                        StoreKeys.OPEN_JOBS_PREFIX
                                                                                .length()))
                                        .toList());
    }

    /** Returns the keys of a job's result segments in the order in which they were written. */
    public Future<List<String>> segmentKeys(String jobId) {
        StoreRead read = new StoreRead(StoreKeys.segmentsPrefix(jobId), true, true);
        return mStore.read(List.of(read))
                .map(
                        result -> {
                            List<String> keys = new ArrayList<>();
                            result.entries().forEach(e -> keys.add(e.key()));
                            return keys;
                        });
    }

    /** Reads one value; fails when it is missing. */
    public Future<byte[]> value(String key) {
        return mStore.read(List.of(StoreRead.of(key)))
                .compose(
                        result -> {
                            StoreEntry entry = result.entry(key);
                            return entry == null
                                    ? Future.failedFuture(
                                            new SesamepinException(
                                                    Step.STORE_READ, "store", "missing " + key))
                                    : Future.succeededFuture(entry.value());
                        });
    }

    /** Reads a file's record; null when there is none. */
    public Future<@Nullable FileRecord> file(String fileId) {
        String key = StoreKeys.fileRecord(fileId);
        return mStore.read(List.of(StoreRead.of(key)))
                .compose(
                        result -> {
                            StoreEntry entry = result.entry(key);
                            if (entry == null) {
                                return Future.succeededFuture(null);
                            }
                            try {
                                return Future.succeededFuture(FileRecord.fromJson(entry.text()));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    /**
     * Appends a result segment under a fence. Returns false when the fence was raised by another
     * host; a segment that an earlier try of the same write left behind counts as written.
     */
    public Future<Boolean> append(
            String jobId, long fence, long fenceRevision, long number, byte[] value) {
        String key = StoreKeys.segment(jobId, fence, number);
        String fenceKey = StoreKeys.jobFencingToken(jobId);
        StoreTransaction append =
                new StoreTransaction()
                        .ifUnchanged(fenceKey, fenceRevision)
                        .ifAbsent(key)
                        .put(key, value, 0)
                        .elseRead(fenceKey)
                        .elseRead(key);
        return mStore.commit(append).map(result -> result.committed() || result.entry(key) != null);
    }
}
