package org.sesamepin.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.time.Ticker;

/**
 * Bounds the memory that the requests of callers take in this process, over all its connections,
 * and the number of these connections.
 *
 * <p>A request counts while it is read and until its response is sent. When more is needed than the
 * limit, connections whose request is still being read are evicted; requests that have arrived
 * whole keep their memory, and are answered also on an evicted connection. Connections are evicted
 * that hold at least half the mean of their address, of an address that holds at least half the
 * mean of all: among them the slowest, then the newest. So a single caller meets no share before
 * the memory is used up. Safe for use by several threads.
 */
public final class RequestMemory {
    /** Part of the memory that large requests leave to small ones, as a divisor. */
    private static final int RESERVE_DIVISOR = 8;

    /** Size from which a request counts as large, bytes. */
    private static final long LARGE_BYTES = 64 << 10;

    /**
     * Part of the mean from which a connection may be evicted, as a divisor. With the whole mean, a
     * connection that has stopped just below it would outlast faster ones above.
     */
    private static final int SHARE_DIVISOR = 2;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Ticker mTicker;
    private final long mMaxBytes;
    private final int mMaxConnections;
    private final Set<Connection> mConnections = new LinkedHashSet<>();
    private long mUsedBytes;
    private long mOpened;
    private long mEvictions;

    /**
     * Creates an instance without connections.
     *
     * @param maxBytes memory of all requests together, bytes
     * @param maxConnections number of connections open at once
     */
    public RequestMemory(Ticker ticker, long maxBytes, int maxConnections) {
        mTicker = ticker;
        mMaxBytes = maxBytes;
        mMaxConnections = maxConnections;
    }

    /** One connection of a caller. */
    public final class Connection {
        private final String mAddress;
        private Runnable mOnEvicted;
        private final long mNumber;
        private final Deque<Long> mUnansweredBytes = new ArrayDeque<>();
        private long mReadBytes;
        private long mAllBytes;
        private long mLastActiveAt;
        private long mWindowStart;
        private long mWindowBytes;
        private long mLastWindowBytes;
        private boolean mIsReading;
        private boolean mIsAnsweredEarly;
        private boolean mIsEvicted;
        private boolean mIsGone;

        private Connection(String address, Runnable onEvicted, long number, long now) {
            mAddress = address;
            mOnEvicted = onEvicted;
            mNumber = number;
            mLastActiveAt = now;
            mWindowStart = now;
        }

        /**
         * Records the state of the request that is being read; this begins the request when none
         * is.
         *
         * @param heldBytes memory that the request takes so far, bytes
         * @param receivedBytes bytes received since the last call
         */
        public void recordRead(long heldBytes, long receivedBytes) {
            runAll(read(this, heldBytes, receivedBytes));
        }

        /** Records that the request that was being read has arrived whole. */
        public void endRead() {
            acceptRead(this);
        }

        /** Records that the response to the oldest request without one is sent. */
        public void endResponse() {
            answerOldest(this);
        }

        /** Returns whether a request has arrived whole and has no response yet. */
        public boolean hasUnanswered() {
            synchronized (RequestMemory.this) {
                return !mUnansweredBytes.isEmpty();
            }
        }

        /** Returns whether the request that is being read has its response already. */
        public boolean isAnsweredEarly() {
            synchronized (RequestMemory.this) {
                return mIsAnsweredEarly;
            }
        }

        /** Records that the connection is closed. */
        public void close() {
            remove(this);
        }

        /** Ends the connection, and releases what its owner keeps through the action. */
        private void runOnEvicted() {
            Runnable onEvicted = mOnEvicted;
            mOnEvicted = () -> {};
            onEvicted.run();
        }

        private boolean isIdle() {
            return !mIsReading && mUnansweredBytes.isEmpty();
        }

        private void roll(long now) {
            long windows = (now - mWindowStart) / WINDOW_NANOS;
            if (windows > 0) {
                mLastWindowBytes = windows == 1 ? mWindowBytes : 0;
                mWindowBytes = 0;
                mWindowStart += windows * WINDOW_NANOS;
            }
        }

        /** Returns the order of magnitude of the bytes received of late, a power of two. */
        private int progressClass(long now) {
            roll(now);
            return Long.SIZE - Long.numberOfLeadingZeros(mLastWindowBytes + mWindowBytes);
        }
    }

    /**
     * Adds a connection. When there are too many, one is evicted: the one idle for longest, else
     * the slowest that is being read, else the new one.
     *
     * @param address address of the caller without the port
     * @param onEvicted ends the connection; called at most once, perhaps by another thread
     */
    public Connection open(String address, Runnable onEvicted) {
        Connection connection;
        List<Connection> evicted;
        synchronized (this) {
            connection = new Connection(address, onEvicted, mOpened++, mTicker.nanoTime());
            evicted = evictForOneMore(connection);
            if (!connection.mIsGone) {
                mConnections.add(connection);
            }
        }
        runAll(evicted);
        return connection;
    }

    private List<Connection> evictForOneMore(Connection added) {
        if (mConnections.size() < mMaxConnections) {
            return List.of();
        }
        Connection victim =
                mConnections.stream()
                        .filter(Connection::isIdle)
                        .min(Comparator.comparingLong(c -> c.mLastActiveAt))
                        .orElse(null);
        if (victim == null) {
            victim = chooseAmong(c -> c.mIsReading && c.mUnansweredBytes.isEmpty());
        }
        if (victim == null) {
            victim = added;
        }
        evict(victim);
        return List.of(victim);
    }

    private static void runAll(List<Connection> evicted) {
        evicted.forEach(Connection::runOnEvicted);
    }

    private synchronized List<Connection> read(
            Connection connection, long heldBytes, long receivedBytes) {
        if (connection.mIsGone || connection.mIsEvicted) {
            return List.of();
        }
        long now = mTicker.nanoTime();
        connection.roll(now);
        connection.mWindowBytes += receivedBytes;
        connection.mLastActiveAt = now;
        connection.mIsReading = true;
        setReadBytes(connection, heldBytes);
        return evictBeyondLimit();
    }

    private void setReadBytes(Connection connection, long bytes) {
        addBytes(connection, bytes - connection.mReadBytes);
        connection.mReadBytes = bytes;
    }

    private void addBytes(Connection connection, long bytes) {
        connection.mAllBytes += bytes;
        mUsedBytes += bytes;
    }

    private List<Connection> evictBeyondLimit() {
        List<Connection> evicted = new ArrayList<>();
        evictWhileAbove(mMaxBytes - mMaxBytes / RESERVE_DIVISOR, LARGE_BYTES, evicted);
        evictWhileAbove(mMaxBytes, 0, evicted);
        return evicted;
    }

    private void evictWhileAbove(long limit, long minBytes, List<Connection> evicted) {
        while (mUsedBytes > limit) {
            Connection victim = chooseAmong(c -> c.mIsReading && c.mReadBytes > minBytes);
            if (victim == null) {
                return;
            }
            evict(victim);
            evicted.add(victim);
        }
    }

    private @Nullable Connection chooseAmong(Predicate<Connection> filter) {
        Map<String, List<Connection>> byAddress =
                mConnections.stream()
                        .filter(filter)
                        .collect(Collectors.groupingBy(connection -> connection.mAddress));
        long meanOfAddresses =
                byAddress.values().stream().mapToLong(RequestMemory::sum).sum()
                        / Math.max(1, byAddress.size());
        long now = mTicker.nanoTime();
        return byAddress.values().stream()
                .filter(group -> sum(group) >= meanOfAddresses / SHARE_DIVISOR)
                .flatMap(RequestMemory::withLargeShare)
                .min(
                        Comparator.<Connection>comparingInt(c -> c.progressClass(now))
                                .thenComparing(c -> -c.mNumber))
                .orElse(null);
    }

    private static long sum(List<Connection> group) {
        return group.stream().mapToLong(connection -> connection.mReadBytes).sum();
    }

    private static Stream<Connection> withLargeShare(List<Connection> group) {
        long mean = sum(group) / group.size();
        return group.stream().filter(connection -> connection.mReadBytes >= mean / SHARE_DIVISOR);
    }

    /** Evicts a connection; one with unanswered requests keeps these, and counts until its end. */
    private void evict(Connection connection) {
        mEvictions++;
        connection.mIsEvicted = true;
        if (connection.mUnansweredBytes.isEmpty()) {
            forget(connection);
        } else {
            connection.mIsReading = false;
            setReadBytes(connection, 0);
        }
    }

    private void forget(Connection connection) {
        mUsedBytes -= connection.mAllBytes;
        connection.mAllBytes = 0;
        connection.mIsGone = true;
        mConnections.remove(connection);
    }

    private synchronized void acceptRead(Connection connection) {
        if (connection.mIsGone || !connection.mIsReading) {
            return;
        }
        connection.mIsReading = false;
        if (connection.mIsAnsweredEarly) {
            connection.mIsAnsweredEarly = false;
            setReadBytes(connection, 0);
        } else {
            connection.mUnansweredBytes.add(connection.mReadBytes);
            connection.mReadBytes = 0;
        }
    }

    private synchronized void answerOldest(Connection connection) {
        if (connection.mIsGone) {
            return;
        }
        connection.mLastActiveAt = mTicker.nanoTime();
        Long bytes = connection.mUnansweredBytes.poll();
        if (bytes != null) {
            addBytes(connection, -bytes);
        } else {
            connection.mIsAnsweredEarly = connection.mIsReading;
        }
    }

    private synchronized void remove(Connection connection) {
        if (!connection.mIsGone) {
            forget(connection);
        }
    }

    /** Returns the memory that requests take, bytes. */
    public synchronized long usedBytes() {
        return mUsedBytes;
    }

    /** Returns the number of connections that are open and not evicted. */
    public synchronized int connections() {
        return mConnections.size();
    }

    /** Returns how many connections have been evicted so far. */
    public synchronized long evictions() {
        return mEvictions;
    }
}
