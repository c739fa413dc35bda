package org.sesamepin.node.stream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.WatchableStore;

/**
 * Reads the statements and records of streams. A reader gets only a listing that began after its
 * request; readers that come meanwhile share the next one. A listing that is not answered for a
 * while is sent once more. Confined to the event loop.
 */
final class OriginReader {
    private static final long TIMEOUT_MS = 500;
    private static final long HEDGE_DELAY_MS = 150;
    private static final long RETRY_DELAY_MS = 60;
    private static final int MAX_LISTINGS = 3;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final Set<Promise<OriginListing>> mReaders = new LinkedHashSet<>();
    private int mListings;

    OriginReader(Vertx vertx, WatchableStore store) {
        mVertx = vertx;
        mStore = store;
    }

    /** Returns what the store holds now; fails when it does not tell in time. */
    Future<OriginListing> read() {
        Promise<OriginListing> reader = Promise.promise();
        mReaders.add(reader);
        long timer =
                mVertx.setTimer(
                        TIMEOUT_MS,
                        t -> {
                            mReaders.remove(reader);
                            reader.tryFail("the store does not answer");
                        });
        if (mListings == 0) {
            list();
        }
        return reader.future().onComplete(done -> mVertx.cancelTimer(timer));
    }

    private void list() {
        if (mReaders.isEmpty() || mListings >= MAX_LISTINGS) {
            return;
        }
        List<Promise<OriginListing>> readers = List.copyOf(mReaders);
        mListings++;
        long hedge = mVertx.setTimer(HEDGE_DELAY_MS, t -> list());
        mStore.list(ServingKeys.streamsPrefix())
                .map(OriginListing::decode)
                .onComplete(
                        listing -> {
                            mListings--;
                            mVertx.cancelTimer(hedge);
                            if (listing.failed()) {
                                mVertx.setTimer(RETRY_DELAY_MS, t -> listUnlessPending());
                                return;
                            }
                            readers.forEach(mReaders::remove);
                            readers.forEach(reader -> reader.tryComplete(listing.result()));
                            listUnlessPending();
                        });
    }

    private void listUnlessPending() {
        if (mListings == 0) {
            list();
        }
    }
}
