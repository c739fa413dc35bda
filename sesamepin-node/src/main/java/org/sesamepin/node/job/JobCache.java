package org.sesamepin.node.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Cache of content of jobs, by job id. Drops the least recently used content when the sizes add up
 * to more than the limit. Not thread-safe.
 */
final class JobCache<T> {
    private record Sized<T>(T content, long bytes) {}

    private final Map<String, Sized<T>> mContents = new LinkedHashMap<>(16, 0.75f, true);
    private final long mMaxBytes;
    private long mBytes;

    /** Creates an empty cache of at most {@code maxBytes}. */
    JobCache(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the content of a job, or null when it is not cached. */
    @Nullable T get(String jobId) {
        Sized<T> sized = mContents.get(jobId);
        return sized == null ? null : sized.content();
    }

    /** Caches the content of a job, unless it exceeds the limit alone. */
    void put(String jobId, T content, long bytes) {
        Sized<T> previous = mContents.remove(jobId);
        mBytes -= previous == null ? 0 : previous.bytes();
        if (bytes > mMaxBytes) {
            return;
        }
        mContents.put(jobId, new Sized<>(content, bytes));
        mBytes += bytes;
        Iterator<Sized<T>> eldest = mContents.values().iterator();
        while (mBytes > mMaxBytes) {
            mBytes -= eldest.next().bytes();
            eldest.remove();
        }
    }

    /** Returns the sum of the sizes, bytes. */
    long bytes() {
        return mBytes;
    }
}
