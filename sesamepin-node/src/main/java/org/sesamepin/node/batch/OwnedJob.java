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
 * One job at the host that owns it. Results are written in groups under the job's fence: when
 * another host has taken the job over, the write fails and this host drops the job. Thread-safe.
 */
final class OwnedJob {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FLUSH_MS = 200;
    private static final long RETRY_MS = 500;
    private static final int MAX_SEGMENT_CHARS = 1_500_000;

    /** Results that may wait for the store before no more items are started, characters. */
    private static final int MAX_WAITING_CHARS = 24_000_000;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final JobStore mStore;
    private final String mSelf;
    private final long mFence;
    private final long mFenceRevision;
    private final ItemSource mSource;
    private final JobTracker mTracker;
    private final Runnable mOnEnd;
    private final Map<Integer, String> mCustomIds = new HashMap<>();
    private final long mTookOverAt;
    private final int mDoneBefore;
    private JobStore.StoredJob mStored;
    private List<ItemResult> mWaiting = new ArrayList<>();
    private int mWaitingChars;
    private int mFailed;
    private long mSegments;
    private boolean mWriting;
    private boolean mStopped;

    OwnedJob(
            Vertx vertx,
            Ticker ticker,
            JobStore store,
            String self,
            JobStore.StoredJob stored,
            long fenceRevision,
            ItemSource source,
            BitSet done,
            int failed,
            Runnable onEnd) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mSelf = self;
        mStored = stored;
        mFence = stored.fence() + 1;
        mFenceRevision = fenceRevision;
        mSource = source;
        mTracker = new JobTracker(stored.record().items(), done);
        mDoneBefore = mTracker.finishedItems();
        mFailed = failed;
        mOnEnd = onEnd;
        mTookOverAt = ticker.nanoTime();
    }

    synchronized JobRecord record() {
        return mStored.record();
    }

    /** Returns how many items a host could lease now. */
    synchronized int available() {
        boolean held = mStopped || mWaitingChars > MAX_WAITING_CHARS;
        return held || record().status() != JobStatus.IN_PROGRESS ? 0 : mTracker.availableItems();
    }

    synchronized int running() {
        return mTracker.leasedItems();
    }

    /** Returns how long the open items will take at the present speed, milliseconds. */
    synchronized long remainingMs() {
        int done = mTracker.finishedItems() - mDoneBefore;
        long spent = TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - mTookOverAt);
        int open = record().items() - mTracker.finishedItems();
        return done == 0 ? 0 : spent * open / done;
    }

    /** Leases items to a host and reads them. */
    Future<List<BatchItem>> lease(String host, int max) {
        List<Integer> indexes;
        synchronized (this) {
            if (available() == 0) {
                return Future.succeededFuture(List.of());
            }
            indexes = mTracker.lease(host, max, mTicker.nanoTime());
        }
        List<Future<BatchItem>> items = new ArrayList<>();
        for (int index : indexes) {
            items.add(mSource.item(index).map(line -> item(index, line)));
        }
        return Future.all(items)
                .map(all -> items.stream().map(Future::result).toList())
                .onFailure(e -> reopen(indexes));
    }

    private synchronized void reopen(Collection<Integer> indexes) {
        indexes.forEach(mTracker::reopen);
    }

    private BatchItem item(int index, JsonObject line) {
        synchronized (this) {
            mCustomIds.put(index, line.getString("custom_id"));
        }
        BatchItem item = new BatchItem();
        item.setJobId(record().id());
        item.setFence(mFence);
        item.setIndex(index);
        item.setCustomer(record().customer());
        item.setPath(record().endpoint());
        item.setBody(line.getJsonObject("body").toBuffer().getBytes());
        item.setOwner(mSelf);
        return item;
    }

    /** Notes how an attempt ended. */
    synchronized void outcome(int index, ItemOutcome outcome, int status, byte[] body) {
        switch (outcome) {
            case COMPLETED -> finish(index, status, body, null);
            case INVALID -> finish(index, status, body, "the target refused the item");
            case TARGET_FAILED -> {
                if (mTracker.recordTargetFailure(index)) {
                    LOG.info("step=batch job={} item={} failed=true", record().id(), index);
                    String error =
                            "targets failed " + JobTracker.MAX_TARGET_FAILURES + " times with it";
                    finish(index, 0, new byte[0], error);
                }
            }
            default -> mTracker.reopen(index);
        }
    }

    private void finish(int index, int status, byte[] body, @Nullable String error) {
        if (mStopped || !mTracker.complete(index)) {
            return;
        }
        JsonNode answer = status == 0 ? null : parse(body);
        String customId = mCustomIds.remove(index);
        if (customId == null) {
            // Leased by a former owner: the id is read again before the result is kept.
            mSource.item(index)
                    .onSuccess(l -> keep(index, l.getString("custom_id"), status, answer, error))
                    .onFailure(
                            e -> LOG.error("step=batch job={} item={}", record().id(), index, e));
            return;
        }
        keep(index, customId, status, answer, error);
    }

    private synchronized void keep(
            int index,
            String customId,
            int status,
            @Nullable JsonNode answer,
            @Nullable String error) {
        ItemResult result = new ItemResult(index, customId, status, answer, error);
        if (result.failed()) {
            mFailed++;
        }
        mWaiting.add(result);
        mWaitingChars += answer == null ? 100 : answer.toString().length();
        if (!mWriting) {
            mWriting = true;
            mVertx.setTimer(FLUSH_MS, t -> flush());
        }
    }

    private static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return JSON.getNodeFactory().textNode(new String(body, StandardCharsets.UTF_8));
        } catch (java.io.IOException e) {
            throw new IllegalStateException("reading from memory", e);
        }
    }

    private void flush() {
        List<ItemResult> group;
        long number;
        synchronized (this) {
            group = takeGroup();
            number = mSegments++;
        }
        write(group, number, ResultSegment.encode(group));
    }

    private List<ItemResult> takeGroup() {
        List<ItemResult> group = new ArrayList<>();
        int chars = 0;
        while (!mWaiting.isEmpty() && chars < MAX_SEGMENT_CHARS) {
            ItemResult next = mWaiting.remove(mWaiting.size() - 1);
            JsonNode body = next.body();
            chars += body == null ? 100 : body.toString().length();
            group.add(next);
        }
        mWaitingChars = Math.max(0, mWaitingChars - chars);
        return group;
    }

    private void write(List<ItemResult> group, long number, byte[] value) {
        mStore.append(record().id(), mFence, mFenceRevision, number, value)
                .onSuccess(
                        kept -> {
                            if (kept) {
                                written(group.size());
                            } else {
                                lostOwnership();
                            }
                        })
                .onFailure(
                        e -> {
                            LOG.warn(
                                    "step=store-write job={} results={} retry=true message=\"{}\"",
                                    record().id(),
                                    group.size(),
                                    e.getMessage());
                            mVertx.setTimer(RETRY_MS, t -> write(group, number, value));
                        });
    }

    private void written(int results) {
        LOG.info("step=store-write job={} results={}", record().id(), results);
        synchronized (this) {
            if (!mWaiting.isEmpty()) {
                mVertx.setTimer(FLUSH_MS, t -> flush());
                return;
            }
            mWriting = false;
        }
        endIfFinished();
    }

    private void lostOwnership() {
        LOG.info("step=store-write job={} message=\"another host owns the job\"", record().id());
        stop();
        mOnEnd.run();
    }

    /** Ends the job in the store when every item is final and written. */
    void endIfFinished() {
        JobStore.StoredJob stored;
        JobRecord ended;
        synchronized (this) {
            boolean cancelling = record().status() == JobStatus.CANCELLING;
            boolean written = !mWriting && mWaiting.isEmpty();
            if (mStopped || !written || !(mTracker.isFinished() || cancelling)) {
                return;
            }
            mStopped = true;
            stored = mStored;
            int completed = mTracker.finishedItems() - mFailed;
            JobStatus status = cancelling ? JobStatus.CANCELLED : JobStatus.COMPLETED;
            ended = record().withStatus(status, System.currentTimeMillis(), completed, mFailed);
        }
        mStore.replace(stored, ended)
                .onSuccess(replaced -> ended(replaced, ended))
                .onFailure(e -> mVertx.setTimer(RETRY_MS, t -> endAgain()));
    }

    private void ended(boolean replaced, JobRecord ended) {
        if (replaced) {
            LOG.info(
                    "step=batch job={} status={} completed={} failed={}",
                    ended.id(),
                    ended.status().label(),
                    ended.completed(),
                    ended.failed());
            mOnEnd.run();
            return;
        }
        endAgain();
    }

    /** The record changed, or the answer was lost: reads it again before the next try. */
    private void endAgain() {
        reload().onComplete(
                        done -> {
                            if (done.succeeded() && record().status().isTerminal()) {
                                mOnEnd.run();
                                return;
                            }
                            synchronized (this) {
                                mStopped = false;
                            }
                            if (done.succeeded()) {
                                endIfFinished();
                            } else {
                                mVertx.setTimer(RETRY_MS, t -> endAgain());
                            }
                        });
    }

    /** Reads the record again, for example after a cancel. */
    Future<Void> reload() {
        return mStore.read(record().id())
                .map(
                        stored -> {
                            if (stored != null) {
                                synchronized (this) {
                                    mStored = stored;
                                }
                            }
                            return null;
                        });
    }

    synchronized void renew(String host, Collection<Integer> indexes) {
        mTracker.renewLeases(host, indexes, mTicker.nanoTime());
    }

    /** Reopens items whose host went silent. */
    synchronized void expire() {
        int reopened = mTracker.expireLeases(mTicker.nanoTime());
        if (reopened > 0) {
            LOG.info("step=batch job={} reopened={}", record().id(), reopened);
        }
    }

    synchronized void stop() {
        mStopped = true;
    }

    /** Tells whether all results that came are in the store. */
    synchronized boolean isFlushed() {
        return !mWriting && mWaiting.isEmpty();
    }

    /** Returns the progress as callers see it. */
    synchronized JsonObject progress() {
        return new JsonObject()
                .put("status", record().status().label())
                .put("completed", mTracker.finishedItems() - mFailed)
                .put("failed", mFailed)
                .put("running", mTracker.leasedItems())
                .put("remaining_ms", remainingMs());
    }

    /** Decodes segments that are in the store already. */
    static int addDone(byte[] segment, BitSet done) throws SesamepinException {
        int failed = 0;
        for (ItemResult result : ResultSegment.decode(segment)) {
            done.set(result.index());
            failed += result.failed() ? 1 : 0;
        }
        return failed;
    }
}
