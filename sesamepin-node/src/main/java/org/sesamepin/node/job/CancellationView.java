package org.sesamepin.node.job;

import java.util.concurrent.TimeUnit;
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
 * #MAX_AGE_MS} ago, or while the store does not answer, so that no job can be cancelled either.
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

    /** Time between two checks after which the event loop counts as having stood still. */
    private static final long MAX_CHECK_INTERVAL_MS = 600;

    private final Ticker mTicker;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final Runnable mOnSendingAllowed;
    private boolean mKnown;
    private long mKnownAt;
    private boolean mReading;
    private boolean mReadAgain;
    private long mReadAt;
    private boolean mStoreAway;
    private long mCheckedAt;
    private boolean mStoodStill;

    /**
     * Creates a view that knows nothing yet.
     *
     * @param onSendingAllowed runs when items may be sent again
     */
    CancellationView(Ticker ticker, JobStorage storage, JobIndex index, Runnable onSendingAllowed) {
        mTicker = ticker;
        mStorage = storage;
        mIndex = index;
        mOnSendingAllowed = onSendingAllowed;
        mReadAt = ticker.nanoTime() - TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS);
        mCheckedAt = ticker.nanoTime();
    }

    /** Returns whether an item may be sent by what this host knows now. */
    boolean allowsSending() {
        return mStoreAway || (mKnown && ageMs() <= MAX_AGE_MS);
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

    /** Reads the cancellations now, because there is a new one. */
    void refresh() {
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
                .onSuccess(listing -> onRead(listing, sentAt))
                .onFailure(this::onReadFailed)
                .onComplete(
                        done -> {
                            mReading = false;
                            if (mReadAgain) {
                                read();
                            }
                        });
    }

    private void onRead(StoreListing listing, long sentAt) {
        boolean wasAllowed = allowsSending();
        mKnown = true;
        mKnownAt = sentAt;
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
