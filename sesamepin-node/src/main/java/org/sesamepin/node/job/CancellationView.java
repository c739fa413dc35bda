package org.sesamepin.node.job;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds the age of what this host knows of cancelled jobs. Watches may be deferred, silent or
 * lost, and a notice may be lost too, so the cancellations are also read from the store while this
 * host has items to send.
 *
 * <p>Rule: an item is sent only while this host knows all cancellations that the store had {@link
 * #MAX_AGE_MS} ago, or while the store answers nothing, so that no job can be cancelled either.
 * Confined to the event loop.
 */
final class CancellationView {
    /** Age beyond which no item is sent, milliseconds. */
    static final long MAX_AGE_MS = 1_500;

    private static final Logger LOG = LoggerFactory.getLogger(CancellationView.class);

    /** Age from which on the cancellations are read again, milliseconds. */
    private static final long REFRESH_AGE_MS = 800;

    /** Interval between two reads while the store does not answer, milliseconds. */
    private static final long RETRY_INTERVAL_MS = 500;

    /**
     * Time for which a failed read counts, milliseconds. The next one may take nearly two seconds
     * to fail, since it is tried through a peer, too.
     */
    private static final long MAX_FAILURE_AGE_MS = 2_200;

    /** Time for which a read that took longer than {@link #MAX_AGE_MS} allows items to be sent. */
    private static final long SLOW_READ_GRACE_MS = 500;

    /** Age beyond which no item is sent even after a slow read, milliseconds. */
    private static final long MAX_SLOW_AGE_MS = 2_500;

    /**
     * Time after the last call that the store answered from which on failed reads show that it is
     * away, milliseconds. Reads alone may be refused for their rate while others are answered.
     */
    private static final long MIN_STORE_SILENCE_MS = 2_000;

    /** Time between two checks after which the event loop counts as having stood still. */
    private static final long MAX_CHECK_INTERVAL_MS = 600;

    private final Ticker mTicker;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final LongSupplier mStoreAnsweredAt;
    private final Runnable mOnSendingAllowed;
    private final Map<String, Long> mNoticedAt = new HashMap<>();
    private boolean mKnown;
    private long mKnownAt;
    private boolean mReading;
    private boolean mReadAgain;
    private long mReadAt;
    private boolean mSlowRead;
    private long mAnsweredAt;
    private boolean mStoreAway;
    private long mFailedAt;
    private long mCheckedAt;
    private boolean mStoodStill;

    /**
     * Creates a view that knows nothing yet.
     *
     * @param storeAnsweredAt when this host sent the latest other call that the store answered, a
     *     reading of the monotonic clock in nanoseconds
     * @param onSendingAllowed runs when items may be sent again
     */
    CancellationView(
            Ticker ticker,
            JobStorage storage,
            JobIndex index,
            LongSupplier storeAnsweredAt,
            Runnable onSendingAllowed) {
        mTicker = ticker;
        mStorage = storage;
        mIndex = index;
        mStoreAnsweredAt = storeAnsweredAt;
        mOnSendingAllowed = onSendingAllowed;
        mReadAt = ticker.nanoTime() - TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS);
        mCheckedAt = ticker.nanoTime();
    }

    /** Returns whether an item may be sent by what this host knows now. */
    boolean allowsSending() {
        boolean isAway =
                mStoreAway
                        && elapsedMs(mFailedAt) <= MAX_FAILURE_AGE_MS
                        && elapsedMs(mStoreAnsweredAt.getAsLong()) >= MIN_STORE_SILENCE_MS;
        boolean isSlow =
                mSlowRead
                        && elapsedMs(mAnsweredAt) <= SLOW_READ_GRACE_MS
                        && ageMs() <= MAX_SLOW_AGE_MS;
        return isAway || isSlow || (mKnown && ageMs() <= MAX_AGE_MS);
    }

    /**
     * Returns whether an item of a job may be sent: not between the notice that the job was
     * cancelled and the next read, which tells whether it was.
     */
    boolean allowsSending(String jobId) {
        return !mNoticedAt.containsKey(jobId) && allowsSending();
    }

    /** Returns the age of what this host knows, milliseconds; -1 before the first read. */
    long ageMs() {
        return mKnown ? elapsedMs(mKnownAt) : -1;
    }

    private long elapsedMs(long since) {
        return TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - since);
    }

    /**
     * Reads the cancellations if the last read is too old. Has to be called several times a second.
     *
     * @param hasItems whether this host has items to send
     */
    void check(boolean hasItems) {
        recordStandstill();
        mCheckedAt = mTicker.nanoTime();
        boolean isOld = !mKnown || ageMs() >= REFRESH_AGE_MS;
        if (hasItems && isOld && elapsedMs(mReadAt) >= RETRY_INTERVAL_MS) {
            read();
        }
    }

    private void recordStandstill() {
        mStoodStill |= elapsedMs(mCheckedAt) > MAX_CHECK_INTERVAL_MS;
    }

    /** Reads the cancellations now, because another host says that it has cancelled a job. */
    void onNotice(String jobId) {
        mNoticedAt.put(jobId, mTicker.nanoTime());
        if (mReading) {
            // The read under way may have been answered before.
            mReadAgain = true;
            return;
        }
        read();
    }

    private void read() {
        if (mReading) {
            return;
        }
        mReading = true;
        mReadAgain = false;
        mStoodStill = false;
        long sentAt = mTicker.nanoTime();
        mReadAt = sentAt;
        mStorage.readCancellations()
                .onComplete(
                        done -> {
                            mReading = false;
                            if (done.succeeded()) {
                                onRead(done.result(), sentAt);
                            } else {
                                onReadFailed(done.cause());
                            }
                            if (mReadAgain) {
                                read();
                            }
                        });
    }

    private void onRead(StoreListing listing, long sentAt) {
        boolean wasAllowed = allowsSending();
        mKnown = true;
        mKnownAt = sentAt;
        recordStandstill();
        mSlowRead = !mStoodStill && ageMs() > MAX_AGE_MS;
        mAnsweredAt = mTicker.nanoTime();
        mNoticedAt.values().removeIf(noticedAt -> noticedAt - sentAt <= 0);
        setStoreAway(false, "");
        mIndex.addCancellations(listing);
        if (!wasAllowed) {
            mOnSendingAllowed.run();
        }
    }

    /** A read whose answer arrived while the event loop stood still says nothing of the store. */
    private void onReadFailed(Throwable e) {
        recordStandstill();
        if (!mStoodStill) {
            mFailedAt = mTicker.nanoTime();
            setStoreAway(true, String.valueOf(e.getMessage()));
        }
    }

    private void setStoreAway(boolean isAway, String cause) {
        if (isAway == mStoreAway) {
            return;
        }
        mStoreAway = isAway;
        LOG.info(
                "step=job-end index_revision={} age_ms={} outcome={} cause=\"{}\"",
                mIndex.revision(),
                ageMs(),
                isAway ? "unknown" : "known-again",
                cause);
    }
}
