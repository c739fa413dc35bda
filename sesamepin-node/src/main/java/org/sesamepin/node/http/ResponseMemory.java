package org.sesamepin.node.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the memory that incomplete and unsent responses take in this process, over all connections
 * together. When they need more, the largest ones are given up, so that faulty targets and callers
 * that do not read do not take the memory of responses of ordinary size.
 */
public final class ResponseMemory {
    /** Divisor of the maximum heap size; the rest is for requests, jobs and copies of responses. */
    private static final int HEAP_DIVISOR = 8;

    private final long mMaxBytes;
    private final Set<Holder> mHolders = new LinkedHashSet<>();
    private long mUsedBytes;

    /** Creates an instance for this process, which takes a fixed share of its heap at most. */
    public ResponseMemory() {
        this(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Creates an instance with a limit, bytes. */
    ResponseMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** The memory of one response. */
    public final class Holder {
        private final Runnable mOnRevoked;
        private long mBytes;
        private boolean mIsRevoked;

        private Holder(Runnable onRevoked) {
            mOnRevoked = onRevoked;
        }

        /**
         * Records the size of the response so far, bytes. Revokes the memory of the largest
         * responses, perhaps this one, when the sum exceeds the limit.
         */
        public void resize(long bytes) {
            revokeBeyondLimit(this, bytes).forEach(holder -> holder.mOnRevoked.run());
        }

        /** Records that the response takes no memory any more. */
        public void release() {
            resize(0);
        }
    }

    /**
     * Returns a holder without memory.
     *
     * @param onRevoked gives the response up; called at most once, perhaps by another thread
     */
    public Holder newHolder(Runnable onRevoked) {
        return new Holder(onRevoked);
    }

    /** Returns the size of all responses together, bytes. */
    public synchronized long usedBytes() {
        return mUsedBytes;
    }

    private synchronized List<Holder> revokeBeyondLimit(Holder holder, long bytes) {
        if (holder.mIsRevoked || holder.mBytes == bytes) {
            return List.of();
        }
        setSize(holder, bytes);
        List<Holder> revoked = new ArrayList<>();
        while (mUsedBytes > mMaxBytes) {
            Holder largest =
                    mHolders.stream().max(Comparator.comparingLong(h -> h.mBytes)).orElseThrow();
            setSize(largest, 0);
            largest.mIsRevoked = true;
            revoked.add(largest);
        }
        return revoked;
    }

    private void setSize(Holder holder, long bytes) {
        mUsedBytes += bytes - holder.mBytes;
        holder.mBytes = bytes;
        if (bytes == 0) {
            mHolders.remove(holder);
        } else {
            mHolders.add(holder);
        }
    }
}
