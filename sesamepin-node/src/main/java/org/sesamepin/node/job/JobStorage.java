package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * Reads and writes jobs in the store. Futures fail as those of {@link WatchableStore} do: a failed
 * write may have taken effect.
 */
public final class JobStorage {
    private static final byte[] CANCELLATION_MARK = {'1'};

    /** Comparisons, writes and deletions that the store takes in one transaction. */
    private static final int MAX_TRANSACTION_ENTRIES = 32;

    /** Entries of a removal beside the job's content: the condition, the job, its cancellation. */
    private static final int REMOVAL_ENTRIES = 3;

    /** Entries of a job's content that are removed at once. */
    private static final int MAX_REMOVED_ENTRIES = MAX_TRANSACTION_ENTRIES - REMOVAL_ENTRIES;

    /**
     * All results of a job that are in the store.
     *
     * @param results results in the order of their positions
     * @param segments number of segments that hold them
     * @param failures number of responses in which targets reported a failed item, by item id
     */
    record StoredResults(List<JobResult> results, int segments, Map<String, Integer> failures) {}

    /** Entries of a transaction that accepts a job, beside the parts of its items. */
    private static final int ACCEPT_ENTRIES = 6;

    private final WatchableStore mStore;
    private final int mMaxValueBytes;

    /**
     * Creates a storage that keeps jobs in {@code store}.
     *
     * @param maxValueBytes size of the largest value that the store takes, bytes
     */
    public JobStorage(WatchableStore store, int maxValueBytes) {
        mStore = store;
        mMaxValueBytes = maxValueBytes;
    }

    /** Returns the size of the largest value that the store takes, bytes. */
    int maxValueBytes() {
        return mMaxValueBytes;
    }

    /**
     * Returns the size up to which results or items are grouped into one value, bytes. It is well
     * below the largest value, so that a write does not hold up others for long.
     *
     * @param maxValueBytes size of the largest value, bytes
     */
    static int groupBytes(int maxValueBytes) {
        return maxValueBytes / 10 * 6;
    }

    /** Returns whether the items of a job fit into the transaction that accepts the job. */
    boolean canAccept(List<JobItem> items) {
        boolean isOneGroup = JobCodec.maxEncodedBytes(items) <= groupBytes(mMaxValueBytes);
        return isOneGroup
                || itemParts("", items).size() + ACCEPT_ENTRIES <= MAX_TRANSACTION_ENTRIES;
    }

    private List<ValueParts.Part> itemParts(String jobId, List<JobItem> items) {
        List<ValueParts.Part> parts = new ArrayList<>();
        int number = 0;
        for (byte[] group : JobCodec.encodeItems(items, groupBytes(mMaxValueBytes))) {
            String key = ServingKeys.itemPart(jobId, number++);
            parts.addAll(ValueParts.split(key, group, mMaxValueBytes));
        }
        return parts;
    }

    /**
     * Stores a new job together with its owner, unless the job exists or another job of the
     * customer was accepted on the route meanwhile. Removes a cancellation that is left from an
     * earlier job with the same id.
     *
     * @param counterRevision revision of the counter of jobs accepted for the customer on the
     *     route; 0 when there is none
     * @param owner encoded owner
     * @param lease lease that removes the owner when it ends
     */
    Future<StoreResult> accept(
            String jobId,
            JobSummary summary,
            List<JobItem> items,
            long counterRevision,
            byte[] owner,
            long lease) {
        String counter = ServingKeys.acceptedCounter(summary.customer(), summary.route());
        StoreTransaction accept =
                new StoreTransaction()
                        .ifAbsent(ServingKeys.job(jobId))
                        .ifUnchanged(counter, counterRevision)
                        .put(counter, jobId)
                        .put(ServingKeys.job(jobId), JobCodec.encodeSummary(summary), 0)
                        .put(ServingKeys.owner(jobId), owner, lease)
                        .delete(ServingKeys.cancellation(jobId));
        itemParts(jobId, items).forEach(part -> accept.put(part.key(), part.value(), 0));
        return mStore.commit(accept);
    }

    /**
     * Makes a host the owner of a job, unless the job was cancelled, completed or claimed since the
     * revisions by which the host decided to claim it.
     *
     * @param ownerRevision revision of the owner; 0 for a job without one
     * @param summaryRevision revision of the summary
     */
    Future<StoreResult> claim(
            String jobId, long ownerRevision, long summaryRevision, byte[] owner, long lease) {
        StoreTransaction claim =
                new StoreTransaction()
                        .ifUnchanged(ServingKeys.owner(jobId), ownerRevision)
                        .ifUnchanged(ServingKeys.job(jobId), summaryRevision)
                        .ifAbsent(ServingKeys.cancellation(jobId))
                        .put(ServingKeys.owner(jobId), owner, lease);
        return mStore.commit(claim);
    }

    /**
     * Appends a segment of results, provided that the owner key is still at {@code ownerRevision}.
     * The last segment of a job also removes the owner.
     *
     * @param number number of the segment
     * @param segment encoded segment
     * @param maxValueBytes size of the largest value to write, bytes
     * @param summary new summary for all hosts; null to keep the stored one
     */
    Future<StoreResult> appendSegment(
            String jobId,
            long ownerRevision,
            int number,
            byte[] segment,
            int maxValueBytes,
            @Nullable JobSummary summary) {
        StoreTransaction append =
                new StoreTransaction()
                        .ifUnchanged(ServingKeys.owner(jobId), ownerRevision)
                        .ifAbsent(ServingKeys.segment(jobId, number));
        ValueParts.split(ServingKeys.segment(jobId, number), segment, maxValueBytes)
                .forEach(part -> append.put(part.key(), part.value(), 0));
        if (summary != null) {
            append.put(ServingKeys.job(jobId), JobCodec.encodeSummary(summary), 0);
        }
        if (summary != null && summary.isComplete()) {
            append.delete(ServingKeys.owner(jobId));
        }
        return mStore.commit(append);
    }

    /** Marks a job as cancelled by its customer. */
    Future<StoreResult> markCancelled(String jobId) {
        StoreTransaction end =
                new StoreTransaction().put(ServingKeys.cancellation(jobId), CANCELLATION_MARK, 0);
        return mStore.commit(end);
    }

    /** Reads the marks of all cancelled jobs. */
    Future<StoreListing> readCancellations() {
        return mStore.list(ServingKeys.cancellation(""));
    }

    /** Reads the current owner of a job; null when it has none. */
    Future<JobCodec.@Nullable Owner> readOwner(String jobId) {
        return readEntry(ServingKeys.owner(jobId), JobCodec::decodeOwner);
    }

    /** Reads the current summary of a job; null when there is no such job. */
    Future<@Nullable JobSummary> readSummary(String jobId) {
        return readEntry(ServingKeys.job(jobId), JobCodec::decodeSummary);
    }

    /** Decodes the value of an entry. */
    private interface EntryDecoder<T> {
        T decode(StoreEntry entry) throws SesamepinException;
    }

    private <T> Future<@Nullable T> readEntry(String key, EntryDecoder<T> decoder) {
        return mStore.list(key)
                .compose(
                        listing -> {
                            try {
                                for (StoreEntry entry : listing.entries()) {
                                    if (entry.key().equals(key)) {
                                        return Future.succeededFuture(decoder.decode(entry));
                                    }
                                }
                                return Future.succeededFuture(null);
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    Future<List<JobItem>> readItems(String jobId) {
        String prefix = ServingKeys.itemsPrefix(jobId);
        return mStore.list(prefix)
                .compose(
                        listing -> {
                            try {
                                return Future.succeededFuture(
                                        JobCodec.decodeItems(
                                                ValueParts.join(prefix, listing.entries())));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    Future<StoredResults> readResults(String jobId) {
        String prefix = ServingKeys.resultsPrefix(jobId);
        return mStore.list(prefix)
                .compose(
                        listing -> {
                            try {
                                return Future.succeededFuture(
                                        decodeResults(ValueParts.join(prefix, listing.entries())));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        });
    }

    private static StoredResults decodeResults(List<StoreEntry> entries) throws SesamepinException {
        List<JobResult> results = new ArrayList<>();
        Map<String, Integer> failures = new HashMap<>();
        for (StoreEntry entry : entries) {
            JobCodec.Segment segment = JobCodec.decodeSegment(entry);
            results.addAll(segment.results());
            failures.putAll(segment.failures());
        }
        return new StoredResults(results, entries.size(), failures);
    }

    /**
     * Removes a job whose results no longer have to be readable, with its items and results. The
     * job's own key goes last, so that an interrupted removal is found and repeated. Fails when the
     * job is not the one that the removal was decided for, but a later one with the same id.
     *
     * @param summaryRevision revision of the summary by which the removal was decided
     */
    Future<Void> remove(String jobId, long summaryRevision) {
        return mStore.list(ServingKeys.contentPrefix(jobId))
                .compose(listing -> removeContent(jobId, summaryRevision, listing.entries()));
    }

    private Future<Void> removeContent(
            String jobId, long summaryRevision, List<StoreEntry> content) {
        StoreTransaction remove =
                new StoreTransaction().ifUnchanged(ServingKeys.job(jobId), summaryRevision);
        int count = Math.min(content.size(), MAX_REMOVED_ENTRIES);
        content.subList(0, count).forEach(entry -> remove.delete(entry.key()));
        if (count == content.size()) {
            remove.delete(ServingKeys.job(jobId)).delete(ServingKeys.cancellation(jobId));
            return commitRemoval(remove);
        }
        List<StoreEntry> rest = content.subList(count, content.size());
        return commitRemoval(remove).compose(done -> removeContent(jobId, summaryRevision, rest));
    }

    private Future<Void> commitRemoval(StoreTransaction remove) {
        return mStore.commit(remove)
                .compose(
                        result ->
                                result.committed()
                                        ? Future.succeededFuture()
                                        : Future.failedFuture("the job was replaced or removed"));
    }
}
