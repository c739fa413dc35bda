package org.sesamepin.node.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.ItemOutcome;
import org.sesamepin.core.batch.ItemResult;
import org.sesamepin.core.batch.JobRecord;
import org.sesamepin.core.batch.JobStatus;
import org.sesamepin.core.batch.JobTracker;
import org.sesamepin.core.batch.ResultSegment;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.BatchItem;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State of one batch job on the host that owns it. Leases items, collects their results, and writes
 * the results to the store in segments.
 *
 * <p>Each write is conditional on the job's fencing token: after another host has taken the job
 * over, the write is rejected and this host drops the job. Thread-safe.
 */
final class OwnedJob {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FLUSH_DELAY_MS = 200;
    private static final long RETRY_DELAY_MS = 500;
    private static final int MAX_SEGMENT_CHARS = 1_500_000;

    /** Size of results waiting for the store above which no more items are leased, characters. */
    private static final int MAX_UNWRITTEN_CHARS = 24_000_000;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final JobStore mJobStore;
    private final String mSelf;
    private final long mFencingToken;

    /** Store revision of the fencing token; a write is rejected once it has changed. */
    private final long mFencingTokenRevision;

    private final ItemSource mItemSource;
    private final JobTracker mTracker;
    private final Runnable mOnOwnershipEnded;
    private final Map<Integer, String> mCustomIdsByIndex = new HashMap<>();
    private final long mTookOverAtNanos;
    private final int mFinishedBeforeTakeOver;
    private JobStore.StoredJob mStoredJob;
    private List<ItemResult> mUnwrittenResults = new ArrayList<>();
    private int mUnwrittenChars;
    private int mFailedItemCount;
    private long mNextSegmentNumber;

    /** True from the scheduling of a write until no unwritten results are left. */
    private boolean mWriting;

    private boolean mStopped;

    OwnedJob(
            Vertx vertx,
            Ticker ticker,
            JobStore store,
            String self,
            JobStore.StoredJob stored,
            long fencingTokenRevision,
            ItemSource itemSource,
            BitSet finishedItems,
            int failedItemCount,
            Runnable onOwnershipEnded) {
        mVertx = vertx;
        mTicker = ticker;
        mJobStore = store;
        mSelf = self;
        mStoredJob = stored;
        mFencingToken = stored.fencingToken() + 1;
        mFencingTokenRevision = fencingTokenRevision;
        mItemSource = itemSource;
        mTracker = new JobTracker(stored.record().items(), finishedItems);
        mFinishedBeforeTakeOver = mTracker.finishedItems();
        mFailedItemCount = failedItemCount;
        mOnOwnershipEnded = onOwnershipEnded;
        mTookOverAtNanos = ticker.nanoTime();
    }

    synchronized JobRecord record() {
        return mStoredJob.record();
    }

    /** Returns the number of items that hosts can lease now. */
    synchronized int availableItemCount() {
        boolean leasingPaused = mStopped || mUnwrittenChars > MAX_UNWRITTEN_CHARS;
        return leasingPaused || record().status() != JobStatus.IN_PROGRESS
                ? 0
                : mTracker.availableItems();
    }

    synchronized int runningItemCount() {
        return mTracker.leasedItems();
    }

    /**
     * Estimates the time that the unfinished items will take, from the throughput since this host
     * took the job over, milliseconds; 0 while no item has finished since then.
     */
    synchronized long estimateRemainingMs() {
        int finished = mTracker.finishedItems() - mFinishedBeforeTakeOver;
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - mTookOverAtNanos);
        int unfinished = record().items() - mTracker.finishedItems();
        return finished == 0 ? 0 : elapsedMs * unfinished / finished;
    }

    /**
     * Leases at most {@code max} items to a host and reads them from the input file. If one cannot
     * be read, the future fails and all of them are available again.
     */
    Future<List<BatchItem>> leaseItems(String host, int max) {
        List<Integer> indexes;
        synchronized (this) {
            if (availableItemCount() == 0) {
                return Future.succeededFuture(List.of());
            }
            indexes = mTracker.lease(host, max, mTicker.nanoTime());
        }
        List<Future<BatchItem>> items = new ArrayList<>();
        for (int index : indexes) {
            items.add(mItemSource.readItem(index).map(line -> createBatchItem(index, line)));
        }
        return Future.all(items)
                .map(all -> items.stream().map(Future::result).toList())
                .onFailure(e -> reopenItems(indexes));
    }

    private synchronized void reopenItems(Collection<Integer> indexes) {
        indexes.forEach(mTracker::reopen);
    }

    private BatchItem createBatchItem(int index, JsonObject line) {
        synchronized (this) {
            mCustomIdsByIndex.put(index, line.getString("custom_id"));
        }
        BatchItem item = new BatchItem();
        item.setJobId(record().id());
        item.setFence(mFencingToken);
        item.setIndex(index);
        item.setCustomer(record().customer());
        item.setPath(record().endpoint());
        item.setBody(line.getJsonObject("body").toBuffer().getBytes());
        item.setOwner(mSelf);
        return item;
    }

    /** Records the outcome of an attempt; an item without a final outcome is reopened. */
    synchronized void recordOutcome(int index, ItemOutcome outcome, int status, byte[] body) {
        switch (outcome) {
            case COMPLETED -> finishItem(index, status, body, null);
            case INVALID -> finishItem(index, status, body, "the item was refused");
            case TARGET_FAILED -> {
                if (mTracker.recordTargetFailure(index)) {
                    LOG.info("step=batch job={} item={} failed=true", record().id(), index);
                    String error =
                            "targets failed " + JobTracker.MAX_TARGET_FAILURES + " times with it";
                    finishItem(index, 0, new byte[0], error);
                }
            }
            default -> mTracker.reopen(index);
        }
    }

    private void finishItem(int index, int status, byte[] body, @Nullable String error) {
        if (mStopped || !mTracker.complete(index)) {
            return;
        }
        JsonNode response = status == 0 ? null : parseResponseBody(body);
        String customId = mCustomIdsByIndex.remove(index);
        if (customId == null) {
            // A former owner leased the item, so this host has to read the custom_id from the input
            // file before it can add the result.
            mItemSource
                    .readItem(index)
                    .onSuccess(
                            line ->
                                    addResult(
                                            index,
                                            line.getString("custom_id"),
                                            status,
                                            response,
                                            error))
                    .onFailure(
                            e -> LOG.error("step=batch job={} item={}", record().id(), index, e));
            return;
        }
        addResult(index, customId, status, response, error);
    }

    private synchronized void addResult(
            int index,
            String customId,
            int status,
            @Nullable JsonNode response,
            @Nullable String error) {
        ItemResult result = new ItemResult(index, customId, status, response, error);
        if (result.failed()) {
            mFailedItemCount++;
        }
        mUnwrittenResults.add(result);
        mUnwrittenChars += response == null ? 100 : response.toString().length();
        if (!mWriting) {
            mWriting = true;
            mVertx.setTimer(FLUSH_DELAY_MS, t -> writeNextSegment());
        }
    }

    private static JsonNode parseResponseBody(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return JSON.getNodeFactory().textNode(new String(body, StandardCharsets.UTF_8));
        } catch (java.io.IOException e) {
            throw new IllegalStateException("I/O error while parsing a response body in memory", e);
        }
    }

    private void writeNextSegment() {
        List<ItemResult> results;
        long segmentNumber;
        synchronized (this) {
            results = takeSegmentResults();
            segmentNumber = mNextSegmentNumber++;
        }
        writeSegment(results, segmentNumber, ResultSegment.encode(results));
    }

    private List<ItemResult> takeSegmentResults() {
        List<ItemResult> results = new ArrayList<>();
        int chars = 0;
        while (!mUnwrittenResults.isEmpty() && chars < MAX_SEGMENT_CHARS) {
            ItemResult next = mUnwrittenResults.remove(mUnwrittenResults.size() - 1);
            JsonNode body = next.body();
            chars += body == null ? 100 : body.toString().length();
            results.add(next);
        }
        mUnwrittenChars = Math.max(0, mUnwrittenChars - chars);
        return results;
    }

    private void writeSegment(List<ItemResult> results, long segmentNumber, byte[] value) {
        mJobStore
                .appendSegment(
                        record().id(), mFencingToken, mFencingTokenRevision, segmentNumber, value)
                .onSuccess(
                        appended -> {
                            if (appended) {
                                onSegmentWritten(results.size());
                            } else {
                                onOwnershipLost();
                            }
                        })
                .onFailure(
                        e -> {
                            LOG.warn(
                                    "step=store-write job={} results={} retry=true message=\"{}\"",
                                    record().id(),
                                    results.size(),
                                    e.getMessage());
                            mVertx.setTimer(
                                    RETRY_DELAY_MS,
                                    t -> writeSegment(results, segmentNumber, value));
                        });
    }

    private void onSegmentWritten(int resultCount) {
        LOG.info("step=store-write job={} results={}", record().id(), resultCount);
        synchronized (this) {
            if (!mUnwrittenResults.isEmpty()) {
                mVertx.setTimer(FLUSH_DELAY_MS, t -> writeNextSegment());
                return;
            }
            mWriting = false;
        }
        endIfFinished();
    }

    private void onOwnershipLost() {
        LOG.info("step=store-write job={} message=\"another host owns the job\"", record().id());
        stop();
        mOnOwnershipEnded.run();
    }

    /**
     * Marks the job as completed or cancelled in the store. Does so once all results received are
     * written and either every item is final or the job is being cancelled; does nothing before.
     */
    void endIfFinished() {
        JobStore.StoredJob stored;
        JobRecord endedRecord;
        synchronized (this) {
            boolean cancelling = record().status() == JobStatus.CANCELLING;
            boolean allWritten = !mWriting && mUnwrittenResults.isEmpty();
            if (mStopped || !allWritten || !(mTracker.isFinished() || cancelling)) {
                return;
            }
            mStopped = true;
            stored = mStoredJob;
            int completed = mTracker.finishedItems() - mFailedItemCount;
            JobStatus status = cancelling ? JobStatus.CANCELLED : JobStatus.COMPLETED;
            endedRecord =
                    record().withStatus(
                                    status,
                                    System.currentTimeMillis(),
                                    completed,
                                    mFailedItemCount);
        }
        mJobStore
                .replaceRecord(stored, endedRecord)
                .onSuccess(replaced -> onEndWritten(replaced, endedRecord))
                .onFailure(e -> mVertx.setTimer(RETRY_DELAY_MS, t -> retryEnd()));
    }

    private void onEndWritten(boolean replaced, JobRecord endedRecord) {
        if (replaced) {
            LOG.info(
                    "step=batch job={} status={} completed={} failed={}",
                    endedRecord.id(),
                    endedRecord.status().label(),
                    endedRecord.completed(),
                    endedRecord.failed());
            mOnOwnershipEnded.run();
            return;
        }
        retryEnd();
    }

    /**
     * Tries again to end the job after another host changed the record or the write failed. Reads
     * the record first, as a write of unknown outcome may have ended the job.
     */
    private void retryEnd() {
        reloadRecord()
                .onComplete(
                        done -> {
                            if (done.succeeded() && record().status().isTerminal()) {
                                mOnOwnershipEnded.run();
                                return;
                            }
                            synchronized (this) {
                                mStopped = false;
                            }
                            if (done.succeeded()) {
                                endIfFinished();
                            } else {
                                mVertx.setTimer(RETRY_DELAY_MS, t -> retryEnd());
                            }
                        });
    }

    /** Reads the record from the store again, for example after the job was cancelled. */
    Future<Void> reloadRecord() {
        return mJobStore
                .readJob(record().id())
                .map(
                        stored -> {
                            if (stored != null) {
                                synchronized (this) {
                                    mStoredJob = stored;
                                }
                            }
                            return null;
                        });
    }

    synchronized void renewLeases(String host, Collection<Integer> indexes) {
        mTracker.renewLeases(host, indexes, mTicker.nanoTime());
    }

    /** Reopens the items whose hosts have not renewed their leases in time. */
    synchronized void expireLeases() {
        int reopened = mTracker.expireLeases(mTicker.nanoTime());
        if (reopened > 0) {
            LOG.info("step=batch job={} reopened={}", record().id(), reopened);
        }
    }

    synchronized void stop() {
        mStopped = true;
    }

    /** Returns true if all results received so far are in the store. */
    synchronized boolean isFlushed() {
        return !mWriting && mUnwrittenResults.isEmpty();
    }

    /** Returns the progress in the JSON form that callers receive. */
    synchronized JsonObject progress() {
        return new JsonObject()
                .put("status", record().status().label())
                .put("completed", mTracker.finishedItems() - mFailedItemCount)
                .put("failed", mFailedItemCount)
                .put("running", mTracker.leasedItems())
                .put("remaining_ms", estimateRemainingMs());
    }

    /**
     * Adds the items of a stored result segment to {@code finishedItems} and returns how many of
     * them failed. Throws if the segment cannot be decoded.
     */
    static int addFinishedItems(byte[] segment, BitSet finishedItems) throws SesamepinException {
        int failedCount = 0;
        for (ItemResult result : ResultSegment.decode(segment)) {
            finishedItems.set(result.index());
            failedCount += result.failed() ? 1 : 0;
        }
        return failedCount;
    }
}
