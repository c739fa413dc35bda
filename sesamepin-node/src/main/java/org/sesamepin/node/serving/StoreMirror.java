package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Mirrors all keys below one prefix of the store: lists them, then watches for changes from the
 * listed revision on, and lists again whenever the store cannot report what changed in between.
 */
public final class StoreMirror implements AutoCloseable {
    /** Receives the content of the store and its changes. */
    public interface Listener {
        /**
         * Handles a listing, which replaces everything received before.
         *
         * @param afterOutage whether calls to the store failed before
         */
        void onListing(StoreListing listing, boolean afterOutage);

        /**
         * Handles the changes after the last listing or the last changes.
         *
         * @param afterOutage whether calls to the store failed before
         */
        void onChanges(StoreChanges changes, boolean afterOutage);

        /**
         * Returns whether a later listing shows that this listener holds an entry that was deleted.
         * A deletion leaves no revision in a listing by which the mirror could see it.
         */
        default boolean isOutdatedBy(StoreListing listing) {
            return false;
        }
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
    private final WatchRateLimiter mRateLimiter;
    private long mRevision = UNLISTED;
    private long mContentRevision = UNLISTED;
    private long mGeneration;
    private int mConsecutiveFailures;
    private long mDelayTimer = NO_TIMER;
    private boolean mListingPending;
    private boolean mClosed;

    /** Creates a mirror of everything below {@code prefix}. */
    public StoreMirror(
            Vertx vertx,
            WatchableStore store,
            String prefix,
            Listener listener,
            WatchRateLimiter rateLimiter) {
        mVertx = vertx;
        mStore = store;
        mPrefix = prefix;
        mListener = listener;
        mRateLimiter = rateLimiter;
    }

    /** Starts the first listing. */
    public void start() {
        listOrWatch(mGeneration);
    }

    /**
     * Lists again at once, because a change may have been missed. The reply of a pending call is
     * ignored.
     */
    public void refresh() {
        mListingPending = false;
        mRevision = UNLISTED;
        mGeneration++;
        mVertx.cancelTimer(mDelayTimer);
        mDelayTimer = NO_TIMER;
        listOrWatch(mGeneration);
    }

    /**
     * Returns whether the store had a change at {@code revision} that this mirror does not know and
     * is not about to read. A listing that is under way is awaited: another one would take as long.
     */
    public boolean isBehind(long revision) {
        long knownUntil = Math.max(mContentRevision, mRevision);
        return revision > knownUntil && !mListingPending && !isWatchDeferred();
    }

    /**
     * Lists beside the pending watch, which may have become silent without an error. When the
     * listing has an entry, or lacks one, that the watch did not report, it takes the place of the
     * watch. Succeeds once everything that the store had at the call is known.
     */
    public Future<Void> verify() {
        long generation = mGeneration;
        return mStore.list(mPrefix)
                .compose(
                        listing -> {
                            if (generation != mGeneration) {
                                return Future.failedFuture("listed again meanwhile");
                            }
                            replaceSilentWatch(listing);
                            return Future.succeededFuture();
                        });
    }

    private void replaceSilentWatch(StoreListing listing) {
        long revision = newestRevision(listing);
        if (revision <= mContentRevision && !mListener.isOutdatedBy(listing)) {
            return;
        }
        LOG.warn(
                "step=store-watch prefix={} store_revision={} revision={} outcome=silent",
                mPrefix,
                revision,
                mContentRevision);
        mGeneration++;
        onListed(mGeneration, listing);
    }

    private static long newestRevision(StoreListing listing) {
        return listing.entries().stream().mapToLong(StoreEntry::modRevision).max().orElse(UNLISTED);
    }

    /** Sends the next watch call at once if the rate limit defers it. */
    public void watchNow() {
        if (isWatchDeferred()) {
            mVertx.cancelTimer(mDelayTimer);
            mDelayTimer = NO_TIMER;
            listOrWatch(mGeneration);
        }
    }

    /**
     * Returns whether the rate limit defers the next watch call, so that the store may have changes
     * that were not read yet.
     */
    public boolean isWatchDeferred() {
        return mDelayTimer != NO_TIMER;
    }

    public String prefix() {
        return mPrefix;
    }

    /** Returns the revision of the latest known change; -1 before the first listing. */
    public long contentRevision() {
        return mContentRevision;
    }

    private void listOrWatch(long generation) {
        if (mClosed || generation != mGeneration) {
            return;
        }
        if (mRevision == UNLISTED) {
            mListingPending = true;
            mStore.list(mPrefix)
                    .onSuccess(listing -> onListed(generation, listing))
                    .onFailure(e -> onFailed(generation, e));
            return;
        }
        mStore.watch(mPrefix, mRevision, WATCH_TIMEOUT_MS)
                .onSuccess(changes -> onChanged(generation, changes))
                .onFailure(e -> onFailed(generation, e));
    }

    private void onListed(long generation, StoreListing listing) {
        if (generation != mGeneration) {
            return;
        }
        mListingPending = false;
        mRevision = listing.revision();
        mContentRevision = Math.max(mContentRevision, newestRevision(listing));
        boolean afterOutage = endOutage();
        notify(mListener, listener -> listener.onListing(listing, afterOutage));
        listOrWatch(generation);
    }

    private void onChanged(long generation, StoreChanges changes) {
        if (generation != mGeneration) {
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
            boolean afterOutage = endOutage();
            notify(mListener, listener -> listener.onChanges(changes, afterOutage));
        }
        long delayMs = mRateLimiter.nextDelayMs();
        if (delayMs <= 0) {
            listOrWatch(generation);
            return;
        }
        mDelayTimer =
                mVertx.setTimer(
                        delayMs,
                        t -> {
                            mDelayTimer = NO_TIMER;
                            listOrWatch(generation);
                        });
    }

    /**
     * Notifies a listener. An error in it must neither end the mirror nor keep other listeners from
     * being notified.
     */
    static void notify(Listener listener, Consumer<Listener> notification) {
        try {
            notification.accept(listener);
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("step=store-watch listener={} outcome=failed", listener.getClass(), e);
        }
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

    private void onFailed(long generation, Throwable e) {
        if (mClosed || generation != mGeneration) {
            return;
        }
        mConsecutiveFailures++;
        // The store may have compacted its history during the interruption without reporting it.
        mRevision = UNLISTED;
        if (mConsecutiveFailures == 1) {
            LOG.warn("step=store-watch prefix={} outcome=lost cause={}", mPrefix, e.getMessage());
        }
        long backoff =
                Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(mConsecutiveFailures - 1, 8));
        long jitter = ThreadLocalRandom.current().nextLong(backoff / 2 + 1);
        mVertx.setTimer(backoff / 2 + jitter + 1, t -> listOrWatch(generation));
    }

    @Override
    public void close() {
        mClosed = true;
        mGeneration++;
    }
}
