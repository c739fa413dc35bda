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

/** Reads and writes jobs, input files and results in the platform's store. */
public final class JobStore {
    private static final ObjectMapper JSON =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    /**
     * A job read from the store, with the revisions that conditional writes compare.
     *
     * @param record the job's record
     * @param recordRevision store revision of the record
     * @param fencingToken highest fencing token so far; 0 before the first owner has raised it
     * @param fencingTokenRevision store revision of the fencing token; 0 if there is none
     */
    public record StoredJob(
            JobRecord record, long recordRevision, long fencingToken, long fencingTokenRevision) {}

    private final PlatformStore mStore;

    /** Creates a job store on top of {@code store}. */
    public JobStore(PlatformStore store) {
        mStore = store;
    }

    /** Encodes a record as the JSON text that is stored. */
    public static String encodeRecord(JobRecord record) {
        try {
            return JSON.writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobRecord decodeRecord(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, JobRecord.class);
        } catch (JsonProcessingException e) {
            throw new SesamepinException(
                    Step.STORE_READ, "store", "damaged job record: " + e.getOriginalMessage());
        }
    }

    /** Creates a job unless it exists; returns the new or the existing record. */
    public Future<JobRecord> createJob(JobRecord record) {
        String key = StoreKeys.jobRecord(record.id());
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifAbsent(key)
                        .put(key, encodeRecord(record))
                        .put(StoreKeys.openJob(record.id()), record.customer())
                        .elseRead(key);
        return mStore.commit(transaction)
                .compose(
                        result -> {
                            StoreEntry entry = result.entry(key);
                            if (result.committed() || entry == null) {
                                return Future.succeededFuture(record);
                            }
                            return decodeRecordToFuture(entry.text());
                        });
    }

    private static Future<JobRecord> decodeRecordToFuture(String text) {
        try {
            return Future.succeededFuture(decodeRecord(text));
        } catch (SesamepinException e) {
            return Future.failedFuture(e);
        }
    }

    /** Reads a job; the result is null if it does not exist. */
    public Future<@Nullable StoredJob> readJob(String jobId) {
        List<StoreRead> reads =
                List.of(
                        StoreRead.of(StoreKeys.jobRecord(jobId)),
                        StoreRead.of(StoreKeys.jobFencingToken(jobId)));
        return mStore.read(reads).compose(result -> decodeJob(jobId, result));
    }

    private static Future<@Nullable StoredJob> decodeJob(String jobId, StoreResult result) {
        StoreEntry record = result.entry(StoreKeys.jobRecord(jobId));
        if (record == null) {
            return Future.succeededFuture(null);
        }
        StoreEntry fencingTokenEntry = result.entry(StoreKeys.jobFencingToken(jobId));
        long fencingToken =
                fencingTokenEntry == null ? 0 : Long.parseLong(fencingTokenEntry.text());
        long fencingTokenRevision = fencingTokenEntry == null ? 0 : fencingTokenEntry.modRevision();
        return decodeRecordToFuture(record.text())
                .map(
                        r ->
                                new StoredJob(
                                        r,
                                        record.modRevision(),
                                        fencingToken,
                                        fencingTokenRevision));
    }

    /**
     * Takes a job over by raising its fencing token. Returns the new store revision of the token,
     * or 0 if another host raised it first.
     */
    public Future<Long> takeOver(StoredJob job) {
        String key = StoreKeys.jobFencingToken(job.record().id());
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifUnchanged(key, job.fencingTokenRevision())
                        .put(key, Long.toString(job.fencingToken() + 1));
        return mStore.commit(transaction).map(r -> r.committed() ? r.revision() : 0L);
    }

    /** Replaces a job's record if it is unchanged; returns whether it was replaced. */
    public Future<Boolean> replaceRecord(StoredJob before, JobRecord after) {
        String key = StoreKeys.jobRecord(after.id());
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifUnchanged(key, before.recordRevision())
                        .put(key, encodeRecord(after));
        if (after.status().isTerminal()) {
            transaction.delete(StoreKeys.openJob(after.id()));
        }
        return mStore.commit(transaction).map(StoreResult::committed);
    }

    /** Returns the ids of the jobs that have not ended yet. */
    public Future<List<String>> listOpenJobs() {
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

    /** Returns the store keys of a job's result segments, in the order of writing. */
    public Future<List<String>> listSegmentKeys(String jobId) {
        StoreRead read = new StoreRead(StoreKeys.segmentsPrefix(jobId), true, true);
        return mStore.read(List.of(read))
                .map(
                        result -> {
                            List<String> keys = new ArrayList<>();
                            result.entries().forEach(e -> keys.add(e.key()));
                            return keys;
                        });
    }

    /** Reads the value of a key; fails if the key does not exist. */
    public Future<byte[]> readValue(String key) {
        return mStore.read(List.of(StoreRead.of(key)))
                .compose(
                        result -> {
                            StoreEntry entry = result.entry(key);
                            return entry == null
                                    ? Future.failedFuture(
                                            new SesamepinException(
                                                    Step.STORE_READ,
                                                    "store",
                                                    "key not found in the store: " + key))
                                    : Future.succeededFuture(entry.value());
                        });
    }

    /** Reads the record of an input file; the result is null if it does not exist. */
    public Future<@Nullable FileRecord> readFileRecord(String fileId) {
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
     * Appends a result segment on condition that the fencing token is unchanged. Returns false if
     * another host has raised the token. A segment that already exists counts as written, as an
     * earlier attempt at the same write may have succeeded without a reply.
     */
    public Future<Boolean> appendSegment(
            String jobId,
            long fencingToken,
            long fencingTokenRevision,
            long segmentNumber,
            byte[] value) {
        String key = StoreKeys.segment(jobId, fencingToken, segmentNumber);
        String fencingTokenKey = StoreKeys.jobFencingToken(jobId);
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifUnchanged(fencingTokenKey, fencingTokenRevision)
                        .ifAbsent(key)
                        .put(key, value, 0)
                        .elseRead(fencingTokenKey)
                        .elseRead(key);
        return mStore.commit(transaction)
                .map(result -> result.committed() || result.entry(key) != null);
    }
}
