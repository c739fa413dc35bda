package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.concurrent.ThreadLocalRandom;
import org.sesamepin.node.spi.StoreChanges;
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
    private static final long WATCH_MS = 20_000;
    private static final long MIN_BACKOFF_MS = 60;
    private static final long MAX_BACKOFF_MS = 700;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final String mPrefix;
    private final Listener mListener;
    private long mRevision = -1;
    private long mRound;
    private int mFailures;
    private boolean mClosed;

    /** Creates a mirror of everything below {@code prefix}. */
    public StoreMirror(Vertx vertx, WatchableStore store, String prefix, Listener listener) {
        mVertx = vertx;
        mStore = store;
        mPrefix = prefix;
        mListener = listener;
    }

    /** Starts following. */
    public void start() {
        next(mRound);
    }

    /** Lists again at once: somebody knows of a change that has not arrived here. */
    public void refresh() {
        mRevision = -1;
        restart();
    }

    /** Makes the waiting call again, on a new connection. */
    public void restart() {
        mRound++;
        next(mRound);
    }

    private void next(long round) {
        if (mClosed || round != mRound) {
            return;
        }
        if (mRevision < 0) {
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
        mListener.listed(listing, recovered());
        next(round);
    }

    private void changed(long round, StoreChanges changes) {
        if (round != mRound) {
            return;
        }
        if (changes.historyLost()) {
            LOG.info("step=store-watch prefix={} outcome=history-lost", mPrefix);
            mRevision = -1;
        } else {
            mRevision = changes.revision();
            mListener.changed(changes, recovered());
        }
        next(round);
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
