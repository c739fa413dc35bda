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
        void onListing(StoreListing listing, boolean afterOutage);

        /** Takes in changes; {@code afterOutage} when calls had failed before. */
        void onChanges(StoreChanges changes, boolean afterOutage);
    }

    private static final Logger LOG = LoggerFactory.getLogger(StoreMirror.class);
    private static final long UNLISTED = -1;
    private static final long WATCH_MS = 20_000;
    private static final long NO_TIMER = -1;
    private static final long MIN_BACKOFF_MS = 60;
    private static final long MAX_BACKOFF_MS = 700;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final String mPrefix;
    private final Listener mListener;
    private final WatchRateLimiter mPace;
    private long mRevision = UNLISTED;
    private long mContentRevision = UNLISTED;
    private long mRound;
    private int mFailures;
    private long mPauseTimer = NO_TIMER;
    private boolean mClosed;

    /** Creates a mirror of everything below {@code prefix}. */
    public StoreMirror(
            Vertx vertx,
            WatchableStore store,
            String prefix,
            Listener listener,
            WatchRateLimiter pace) {
        mVertx = vertx;
        mStore = store;
        mPrefix = prefix;
        mListener = listener;
        mPace = pace;
    }

    /** Starts following. */
    public void start() {
        next(mRound);
    }

    /** Lists again at once: a change may have been missed. */
    public void refresh() {
        mRevision = UNLISTED;
        mRound++;
        mVertx.cancelTimer(mPauseTimer);
        mPauseTimer = NO_TIMER;
        next(mRound);
    }

    /** Takes the next changes now, if they are held back. */
    public void watchNow() {
        if (isHeldBack()) {
            mVertx.cancelTimer(mPauseTimer);
            mPauseTimer = NO_TIMER;
            next(mRound);
        }
    }

    /** Tells whether changes may be there that are not taken yet. */
    public boolean isHeldBack() {
        return mPauseTimer != NO_TIMER;
    }

    public String prefix() {
        return mPrefix;
    }

    /** Returns the revision of the latest content that is known; -1 before the first listing. */
    public long contentRevision() {
        return mContentRevision;
    }

    private void next(long round) {
        if (mClosed || round != mRound) {
            return;
        }
        if (mRevision == UNLISTED) {
            mStore.list(mPrefix)
                    .onSuccess(listing -> listed(round, listing))
                    .onFailure(e -> failed(round, e));
            return;
        }
        mStore.watch(mPrefix, mRevision, WATCH_MS)
                .onSuccess(changes -> changed(round, changes))
                .onFailure(e -> failed(round, e));
    }

    private void listed(long round, StoreListing listing) {
        if (round != mRound) {
            return;
        }
        mRevision = listing.revision();
        for (StoreEntry entry : listing.entries()) {
            mContentRevision = Math.max(mContentRevision, entry.modRevision());
        }
        mListener.onListing(listing, recovered());
        next(round);
    }

    private void changed(long round, StoreChanges changes) {
        if (round != mRound) {
            return;
        }
        if (changes.compacted()) {
            LOG.info("step=store-watch prefix={} outcome=history-lost", mPrefix);
            mRevision = UNLISTED;
        } else {
            mRevision = changes.revision();
            for (StoreChange change : changes.changes()) {
                mContentRevision = Math.max(mContentRevision, change.revision());
            }
            mListener.onChanges(changes, recovered());
        }
        long pauseMs = mPace.nextPauseMs();
        if (pauseMs <= 0) {
            next(round);
            return;
        }
        mPauseTimer =
                mVertx.setTimer(
                        pauseMs,
                        t -> {
                            mPauseTimer = NO_TIMER;
                            next(round);
                        });
    }

    private boolean recovered() {
        boolean afterOutage = mFailures > 0;
        if (afterOutage) {
            LOG.info("step=store-watch prefix={} outcome=regained failures={}", mPrefix, mFailures);
        }
        mFailures = 0;
        return afterOutage;
    }

    private void failed(long round, Throwable e) {
        if (mClosed || round != mRound) {
            return;
        }
        mFailures++;
        // The store may have dropped its history while the watch was cut, without saying so.
        mRevision = UNLISTED;
        if (mFailures == 1) {
            LOG.warn("step=store-watch prefix={} outcome=lost cause={}", mPrefix, e.getMessage());
        }
        long backoff = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(mFailures - 1, 8));
        long jitter = ThreadLocalRandom.current().nextLong(backoff / 2 + 1);
        mVertx.setTimer(backoff / 2 + jitter + 1, t -> next(round));
    }

    @Override
    public void close() {
        mClosed = true;
        mRound++;
    }
}
