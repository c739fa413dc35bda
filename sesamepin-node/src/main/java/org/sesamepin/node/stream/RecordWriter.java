package org.sesamepin.node.stream;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.stream.RecordJournal;
import org.sesamepin.core.stream.StreamRecordCodec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the records of a {@link RecordJournal} to the store. Confined to the event loop. */
final class RecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /** Time without an answer after which the records are written to another bucket. */
    private static final long ANSWER_TIMEOUT_MS = 250;

    private static final long RETRY_DELAY_MS = 60;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final WatchableStore mStore;
    private final RecordJournal mJournal;
    private final LongSupplier mIntervalNanos;
    private final LongSupplier mRetentionNanos;
    private boolean mIsScheduled;
    private boolean mClosed;
    private long mStored;

    /**
     * Creates a writer.
     *
     * @param intervalNanos least time between two writes
     * @param retentionNanos how long records are kept
     */
    RecordWriter(
            Vertx vertx,
            Ticker ticker,
            WatchableStore store,
            RecordJournal journal,
            LongSupplier intervalNanos,
            LongSupplier retentionNanos) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mJournal = journal;
        mIntervalNanos = intervalNanos;
        mRetentionNanos = retentionNanos;
    }

    /** Returns the number of records that are not certain to be in the store. */
    int pending() {
        return mJournal.pending();
    }

    /** Returns the number of writes that the store has confirmed. */
    long stored() {
        return mStored;
    }

    /** Writes new records, at once unless another write is in flight or was sent just now. */
    void schedule() {
        long delayNanos = mJournal.delayNanos(mTicker.nanoTime(), mIntervalNanos.getAsLong());
        if (mClosed || mIsScheduled || delayNanos < 0) {
            return;
        }
        if (delayNanos == 0) {
            writeNext();
        } else {
            scheduleIn(1 + TimeUnit.NANOSECONDS.toMillis(delayNanos));
        }
    }

    private void scheduleIn(long delayMs) {
        mIsScheduled = true;
        mVertx.setTimer(
                delayMs,
                t -> {
                    mIsScheduled = false;
                    schedule();
                });
    }

    /** Writes what is due, and removes old buckets. */
    void writeNext() {
        RecordJournal.Write write =
                mClosed ? null : mJournal.next(mTicker.nanoTime(), mRetentionNanos.getAsLong());
        if (write == null) {
            return;
        }
        AtomicBoolean isDecided = new AtomicBoolean();
        long timer =
                mVertx.setTimer(
                        ANSWER_TIMEOUT_MS,
                        t -> {
                            if (isDecided.compareAndSet(false, true)) {
                                onFailed(write, null);
                            }
                        });
        mStore.commit(encode(write))
                .onComplete(
                        result -> {
                            mVertx.cancelTimer(timer);
                            if (!isDecided.compareAndSet(false, true)) {
                                return;
                            }
                            if (result.succeeded()) {
                                mStored++;
                                mJournal.onStored();
                                schedule();
                            } else {
                                onFailed(write, result.cause());
                            }
                        });
    }

    private void onFailed(RecordJournal.Write write, @Nullable Throwable cause) {
        LOG.warn(
                "step=stream-record bucket={} records={} outcome=unknown cause={}",
                write.bucket(),
                write.records().size(),
                cause == null ? "no answer" : cause.getMessage());
        mJournal.onFailed(mTicker.nanoTime());
        if (!mIsScheduled) {
            scheduleIn(RETRY_DELAY_MS);
        }
    }

    private static StoreTransaction encode(RecordJournal.Write write) {
        StoreTransaction transaction = new StoreTransaction();
        String bucket = write.bucket();
        if (bucket != null) {
            transaction.put(bucket, StreamRecordCodec.encode(write.records()), 0);
        }
        write.removals().forEach(transaction::delete);
        return transaction;
    }

    /** Ends all writing. */
    void close() {
        mClosed = true;
    }
}
