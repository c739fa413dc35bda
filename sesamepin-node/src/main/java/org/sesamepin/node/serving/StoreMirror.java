package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.concurrent.ThreadLocalRandom;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows all changes below one prefix of the store: lists it, then watches from the listed
 * revision, and lists again whenever the store cannot tell what changed meanwhile.
 */
public final class StoreMirror implements AutoCloseable {
    /** Takes in what the store holds. */
    public interface Listener {
        /** Replaces everything known; {@code afterOutage} when calls had failed before. */
        void listed(StoreListing listing, boolean afterOutage);

        /** Takes in changes; {@code afterOutage} when calls had failed before. */
        void changed(StoreChanges changes, boolean afterOutage);
    }

    private static final Logger LOG = LoggerFactory.getLogger(StoreMirror.class);
    private static final long UNLISTED = -1;
    private static final long WATCH_TIMEOUT_MS = 20_000;
    private static final long NO_TIMER = -1;
    private static final long MIN_BACKOFF_MS = 60;
    private static final long MAX_BACKOFF_MS = 700;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final String mPrefix;
    private final Listener mListener;
    private final WatchPace mRateLimiter;
    private long mRevision = UNLISTED;
    private long mContentRevision = UNLISTED;
    private long mGeneration;
    private int mConsecutiveFailures;
    private long mDelayTimer = NO_TIMER;
    private boolean mClosed;

    /** Creates a mirror of everything below {@code prefix}. */
    public StoreMirror(
            Vertx vertx, WatchableStore store, String prefix, Listener listener, WatchPace pace) {
        mVertx = vertx;
        mStore = store;
        mPrefix = prefix;
        mListener = listener;
        mRateLimiter = pace;
    }

    /** Starts following. */
    public void start() {
        listOrWatch(mGeneration);
    }

    /** Lists again at once: a change may have been missed. */
    public void refresh() {
        mRevision = UNLISTED;
        mGeneration++;
        mVertx.cancelTimer(mDelayTimer);
        mDelayTimer = NO_TIMER;
        listOrWatch(mGeneration);
    }

    /** Takes the next changes now, if they are held back. */
    public void hurry() {
        if (isWatchDeferred()) {
            mVertx.cancelTimer(mDelayTimer);
            mDelayTimer = NO_TIMER;
            listOrWatch(mGeneration);
        }
    }

    /** Tells whether changes may be there that are not taken yet. */
    public boolean isWatchDeferred() {
        return mDelayTimer != NO_TIMER;
    }

    public String prefix() {
        return mPrefix;
    }

    /** Returns the revision of the latest content that is known; -1 before the first listing. */
    public long contentRevision() {
        return mContentRevision;
    }

    private void listOrWatch(long round) {
        if (mClosed || round != mGeneration) {
            return;
        }
        if (mRevision == UNLISTED) {
            mStore.list(mPrefix)
                    .onSuccess(listing -> onListed(round, listing))
                    .onFailure(e -> onFailed(round, e));
            return;
        }
        mStore.watch(mPrefix, mRevision, WATCH_TIMEOUT_MS)
                .onSuccess(changes -> onChanged(round, changes))
                .onFailure(e -> onFailed(round, e));
    }

    private void onListed(long round, StoreListing listing) {
        if (round != mGeneration) {
            return;
        }
        mRevision = listing.revision();
        for (StoreEntry entry : listing.entries()) {
            mContentRevision = Math.max(mContentRevision, entry.modRevision());
        }
        mListener.listed(listing, endOutage());
        listOrWatch(round);
    }

    private void onChanged(long round, StoreChanges changes) {
        if (round != mGeneration) {
            return;
        }
        if (changes.historyLost()) {
            LOG.info("step=store-watch prefix={} outcome=history-lost", mPrefix);
            mRevision = UNLISTED;
        } else {
            mRevision = changes.revision();
            for (StoreChange change : changes.changes()) {
                mContentRevision = Math.max(mContentRevision, change.revision());
            }
            mListener.changed(changes, endOutage());
        }
        long pauseMs = mRateLimiter.nextDelayMs();
        if (pauseMs <= 0) {
            listOrWatch(round);
            return;
        }
        mDelayTimer =
                mVertx.setTimer(
                        pauseMs,
                        t -> {
                            mDelayTimer = NO_TIMER;
                            listOrWatch(round);
                        });
    }

    private boolean endOutage() {
        boolean afterOutage = mConsecutiveFailures > 0;
        if (afterOutage) {
            LOG.info(
                    "step=store-watch prefix={} outcome=regained failures={}",
                    mPrefix,
                    mConsecutiveFailures);
        }
        mConsecutiveFailures = 0;
        return afterOutage;
    }

    private void onFailed(long round, Throwable e) {
        if (mClosed || round != mGeneration) {
            return;
        }
        mConsecutiveFailures++;
        // The store may have dropped its history while the watch was cut, without saying so.
        mRevision = UNLISTED;
        if (mConsecutiveFailures == 1) {
            LOG.warn("step=store-watch prefix={} outcome=lost cause={}", mPrefix, e.getMessage());
        }
        long backoff =
                Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(mConsecutiveFailures - 1, 8));
        long jitter = ThreadLocalRandom.current().nextLong(backoff / 2 + 1);
        mVertx.setTimer(backoff / 2 + jitter + 1, t -> listOrWatch(round));
    }

    @Override
    public void close() {
        mClosed = true;
        mGeneration++;
    }
}
