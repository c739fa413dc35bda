package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamepin.core.time.Ticker;

/**
 * The origins of the streams of this host, in memory, for as long as their callers may take them
 * up. Confined to the event loop.
 */
public final class LocalStreamOrigins implements StreamOrigins {
    private static final String SOURCE = "host";

    private record Entry(StreamOrigin origin, long recordedAt) {}

    private final Ticker mTicker;
    private final LongSupplier mTtlMs;
    private final int mMaxEntries;

    /** The origins by id of the stream, in the order in which they were recorded. */
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param ttlMs how long an origin is kept after it was last recorded, milliseconds
     * @param maxEntries number of origins beyond which the oldest are dropped
     */
    public LocalStreamOrigins(Ticker ticker, LongSupplier ttlMs, int maxEntries) {
        mTicker = ticker;
        mTtlMs = ttlMs;
        mMaxEntries = maxEntries;
    }

    @Override
    public Future<Void> record(String streamId, StreamOrigin origin) {
        mEntries.remove(streamId);
        mEntries.put(streamId, new Entry(origin, mTicker.nanoTime()));
        dropOld();
        return Future.succeededFuture();
    }

    @Override
    public Future<Optional<Found>> find(String streamId) {
        dropOld();
        Entry entry = mEntries.get(streamId);
        return Future.succeededFuture(
                entry == null ? Optional.empty() : Optional.of(new Found(entry.origin(), SOURCE)));
    }

    private void dropOld() {
        long now = mTicker.nanoTime();
        long ttlNanos = TimeUnit.MILLISECONDS.toNanos(mTtlMs.getAsLong());
        Iterator<Entry> oldest = mEntries.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = now - oldest.next().recordedAt() > ttlNanos;
            if (!isOld && mEntries.size() <= mMaxEntries) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the number of streams whose origins are kept. */
    public int size() {
        return mEntries.size();
    }
}
