package org.sesamepin.node.stream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.stream.RecordJournal;
import org.sesamepin.core.stream.StreamRecordCodec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the records of a {@link RecordJournal} to the store, and tells when they are there.
 * Confined to the event loop.
 */
final class RecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /** Time without an answer after which the records are written to another bucket. */
    private static final long ANSWER_TIMEOUT_MS = 250;

    private static final long RETRY_DELAY_MS = 60;
    private static final long NO_TIMER = -1;

    /** Least times between two writes. */
    interface Intervals {
        /** Returns the time while no event waits for a record, nanoseconds. */
        long usualNanos();

        /** Returns the time while an event waits for a record, nanoseconds. */
        long awaitedNanos();
    }

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final WatchableStore mStore;
    private final RecordJournal mJournal;
    private final Intervals mIntervals;
    private final LongSupplier mRetentionNanos;
    private final Waits<Long> mWaits = new Waits<>();
    private long mTimer = NO_TIMER;
    private long mTimerDueAt;
    private boolean mClosed;
    private long mStored;

    /**
     * Creates a writer.
     *
     * @param intervals least times between two writes
     * @param retentionNanos how long records are kept
     */
    RecordWriter(
            Vertx vertx,
            Ticker ticker,
            WatchableStore store,
            RecordJournal journal,
            Intervals intervals,
            LongSupplier retentionNanos) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mJournal = journal;
        mIntervals = intervals;
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

    /**
     * Completes when the store holds a record that the journal has, or had.
     *
     * @param isOver tells that the result is not needed any more
     */
    Future<Void> whenStored(long key, BooleanSupplier isOver) {
        if (!mJournal.isPending(key)) {
            return Future.succeededFuture();
        }
        return mWaits.add(key, isOver);
    }

    /** Withdraws the records whose waits are all over. */
    void removeOver() {
        mWaits.removeOver().forEach(mJournal::withdraw);
    }

    private void completeWaits() {
        for (Long key : mWaits.keys()) {
            if (!mJournal.isPending(key)) {
                mWaits.complete(key);
            }
        }
    }

    /** Writes new records, at once unless another write is in flight or was sent just now. */
    void schedule() {
        long delayNanos =
                mJournal.delayNanos(
                        mTicker.nanoTime(), mIntervals.usualNanos(), mIntervals.awaitedNanos());
        if (mClosed || delayNanos < 0) {
            return;
        }
        if (delayNanos == 0) {
            writeNext();
        } else {
            scheduleIn(1 + TimeUnit.NANOSECONDS.toMillis(delayNanos));
        }
    }

    /** Schedules the next write, unless it is due by then. */
    private void scheduleIn(long delayMs) {
        long dueAt = mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        if (mTimer != NO_TIMER && mTimerDueAt - dueAt <= 0) {
            return;
        }
        mVertx.cancelTimer(mTimer);
        mTimerDueAt = dueAt;
        mTimer =
                mVertx.setTimer(
                        delayMs,
                        t -> {
                            mTimer = NO_TIMER;
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
                            boolean isLate = !isDecided.compareAndSet(false, true);
                            if (result.succeeded()) {
                                onStored(write, isLate);
                            } else if (!isLate) {
                                onFailed(write, result.cause());
                            }
                        });
    }

    private void onStored(RecordJournal.Write write, boolean isLate) {
        mStored++;
        if (isLate) {
            mJournal.onStoredLate(write);
        } else {
            mJournal.onStored();
        }
        completeWaits();
        schedule();
    }

    private void onFailed(RecordJournal.Write write, @Nullable Throwable cause) {
        LOG.warn(
                "step=stream-record bucket={} records={} outcome=unknown cause={}",
                write.bucket(),
                write.records().size(),
                cause == null ? "no answer" : cause.getMessage());
        mJournal.onFailed(mTicker.nanoTime());
        scheduleIn(RETRY_DELAY_MS);
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
