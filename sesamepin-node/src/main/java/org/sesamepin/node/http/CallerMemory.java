package org.sesamepin.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.limit.RequestMemory;
import org.sesamepin.core.time.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The memory that requests of callers take in this process, with limits that derive from its heap
 * and its descriptors. Logs at most one line per second about connections that are evicted, about a
 * listener that stops to accept, and about callers that do not read.
 */
public final class CallerMemory {
    private static final Logger LOG = LoggerFactory.getLogger(CallerMemory.class);

    /** Divisor of the maximum heap size; an eighth is for responses, the rest for all else. */
    private static final int HEAP_DIVISOR = 4;

    /** Heap per connection, bytes: an idle one takes some 10 kB with its buffers and timers. */
    private static final long HEAP_PER_CONNECTION = 64 << 10;

    /**
     * Size of the receive buffer with which a listener accepts connections, bytes; the system
     * reserves twice as much. Without it each one may hold megabytes that have not been read.
     */
    public static final int RECEIVE_BUFFER_BYTES = 64 << 10;

    /** The same for connections beyond those whose receive buffers take their share. */
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 << 10;

    /** Divisor of the maximum heap size: share of the larger receive buffers. */
    private static final int RECEIVE_BUFFERS_DIVISOR = 8;

    /** Divisor of the memory of requests: that of responses which callers do not read. */
    private static final int UNSENT_DIVISOR = 2;

    /** Divisor of the number of connections: share of those that wait or are being closed. */
    private static final int ACCEPTED_DIVISOR = 16;

    /** Divisor of the number of connections: those that stay open after their last response. */
    private static final int LINGERING_DIVISOR = 32;

    private static final long RETRY_AFTER_MS = 1_000;
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final Pattern MAX_FILES = Pattern.compile("Max open files\\s+(\\d+)");

    private final Ticker mTicker;
    private final RequestMemory mRequests;
    private final ResponseMemory mUnsent;
    private final int mMaxAccepted;
    private final int mMaxLingering;
    private final AtomicInteger mLingering = new AtomicInteger();
    private final int mLargeReceiveBuffers;
    private final Map<EventLoop, ReadTurns> mTurns = new ConcurrentHashMap<>();
    private final LongAdder mGivenTurns = new LongAdder();
    private final LongAdder mAcceptStops = new LongAdder();
    private final AtomicLong mLastLogAt;
    private final AtomicLong mLastStopLogAt;
    private final LongAdder mUnreadClosed = new LongAdder();
    private final AtomicLong mLastUnreadLogAt;

    /** Creates an instance with the limits of this process. */
    public CallerMemory(Ticker ticker) {
        this(ticker, 0, 0);
    }

    /**
     * Creates an instance.
     *
     * @param maxBytes memory of all requests together, bytes; 0 for a quarter of the heap
     * @param maxConnections number of connections open at once; 0 to derive it from the descriptors
     *     and the heap
     */
    public CallerMemory(Ticker ticker, long maxBytes, int maxConnections) {
        this(ticker, maxBytes, maxConnections, Runtime.getRuntime().maxMemory());
    }

    /** Creates an instance for a heap of {@code heapBytes} at most. */
    CallerMemory(Ticker ticker, long maxBytes, int maxConnections, long heapBytes) {
        int connections = maxConnections > 0 ? maxConnections : maxConnections(heapBytes);
        mTicker = ticker;
        long requestBytes = maxBytes > 0 ? maxBytes : heapBytes / HEAP_DIVISOR;
        mRequests = new RequestMemory(ticker, requestBytes, connections);
        mUnsent = new ResponseMemory(requestBytes / UNSENT_DIVISOR);
        mMaxAccepted = connections + connections / ACCEPTED_DIVISOR + 1;
        mMaxLingering = connections / LINGERING_DIVISOR + 1;
        mLargeReceiveBuffers =
                (int) (heapBytes / RECEIVE_BUFFERS_DIVISOR / (2 * RECEIVE_BUFFER_BYTES));
        mLastLogAt = new AtomicLong(ticker.nanoTime() - LOG_INTERVAL_NANOS);
        mLastStopLogAt = new AtomicLong(ticker.nanoTime() - LOG_INTERVAL_NANOS);
        mLastUnreadLogAt = new AtomicLong(ticker.nanoTime() - LOG_INTERVAL_NANOS);
    }

    /** Returns three quarters of the descriptors, unless the heap allows fewer connections. */
    private static int maxConnections(long heapBytes) {
        long byHeap = heapBytes / HEAP_PER_CONNECTION;
        return (int) Math.min(Math.min(byHeap, Integer.MAX_VALUE), maxDescriptors() / 4 * 3);
    }

    /** Returns how many files the process may open; no limit where the system does not tell. */
    private static long maxDescriptors() {
        try {
            Matcher limit = MAX_FILES.matcher(Files.readString(PROCESS_LIMITS));
            return limit.find() ? Long.parseLong(limit.group(1)) : Long.MAX_VALUE;
        } catch (IOException | NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    /**
     * Limits the receive buffer of a connection when those of {@code connections} are beyond their
     * share. It is never enlarged: the system may keep the window of the smaller one.
     */
    private void limitReceiveBuffer(Channel channel, int connections) {
        if (connections <= mLargeReceiveBuffers) {
            return;
        }
        try {
            channel.config().setOption(ChannelOption.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES);
        } catch (ChannelException e) {
            LOG.debug("step=accept outcome=closed-meanwhile cause={}", e.getMessage());
        }
    }

    /** Returns the pace at which a new connection is read; limits its receive buffer. */
    ReadPace newPace(Channel channel) {
        limitReceiveBuffer(channel, mRequests.connections());
        ReadTurns turns =
                mTurns.computeIfAbsent(
                        channel.eventLoop(), loop -> new ReadTurns(loop, mGivenTurns));
        return new ReadPace(channel, turns, mTicker);
    }

    /**
     * Limits how many connections the listener of a new connection accepts, and the receive buffers
     * of further ones as they are accepted: their clients may send long before a busy event loop
     * sees them.
     */
    void limitAccepted(Channel channel) {
        Channel listener = channel.parent();
        if (listener != null) {
            AcceptGate.install(
                    listener, mMaxAccepted, this::onAcceptStopped, this::limitReceiveBuffer);
        }
    }

    /**
     * Records that a connection stays open for a while after its last response, until it is closed.
     *
     * @return whether it may; too many would keep others from being accepted
     */
    boolean linger(Channel channel) {
        if (mLingering.incrementAndGet() > mMaxLingering) {
            mLingering.decrementAndGet();
            return false;
        }
        channel.closeFuture().addListener(f -> mLingering.decrementAndGet());
        return true;
    }

    /** Returns what holds the unsent bytes of a connection; {@code onRevoked} closes it. */
    ResponseMemory.Holder newUnsent(Runnable onRevoked) {
        return mUnsent.newHolder(
                () -> {
                    mUnreadClosed.increment();
                    if (isLogDue(mLastUnreadLogAt)) {
                        LOG.warn(
                                "step=respond outcome=unread-closed closed={} unsent_bytes={}",
                                mUnreadClosed.sum(),
                                mUnsent.usedBytes());
                    }
                    onRevoked.run();
                });
    }

    /** Adds a connection; {@code onEvicted} ends it, and runs on its event loop. */
    RequestMemory.Connection open(Channel channel, Runnable onEvicted) {
        SocketAddress remote = channel.remoteAddress();
        String address =
                remote instanceof InetSocketAddress socket
                        ? socket.getAddress().getHostAddress()
                        : String.valueOf(remote);
        return mRequests.open(
                address,
                () -> {
                    log();
                    runOn(channel.eventLoop(), onEvicted);
                });
    }

    /**
     * Runs a task on an event loop, at once on the current one: a loop reads from all its
     * connections before it runs further tasks, so that evicted requests would keep their memory
     * while others take it.
     */
    private static void runOn(EventLoop eventLoop, Runnable task) {
        if (eventLoop.inEventLoop()) {
            task.run();
        } else {
            eventLoop.execute(task);
        }
    }

    private void onAcceptStopped() {
        mAcceptStops.increment();
        if (isLogDue(mLastStopLogAt)) {
            LOG.warn(
                    "step=accept outcome=stopped stops={} max_accepted={} connections={}",
                    mAcceptStops.sum(),
                    mMaxAccepted,
                    mRequests.connections());
        }
    }

    /** Returns whether a second has passed since the last line of a kind; if so, begins anew. */
    private boolean isLogDue(AtomicLong lastLogAt) {
        long now = mTicker.nanoTime();
        long last = lastLogAt.get();
        return now - last >= LOG_INTERVAL_NANOS && lastLogAt.compareAndSet(last, now);
    }

    private void log() {
        if (!isLogDue(mLastLogAt)) {
            return;
        }
        LOG.warn(
                "step=read-request outcome=callers-evicted evictions={} request_bytes={}"
                        + " connections={}",
                mRequests.evictions(),
                mRequests.usedBytes(),
                mRequests.connections());
    }

    /** Returns the error of a request that was given up while it was read. */
    static Problem evicted() {
        return new Problem(
                ProblemType.REQUEST_MEMORY_FULL,
                Step.READ_REQUEST,
                "node",
                Execution.NOT_RUN,
                "other requests take the memory",
                RETRY_AFTER_MS,
                null);
    }

    /** Returns the memory that requests take, bytes. */
    public long usedBytes() {
        return mRequests.usedBytes();
    }

    /** Returns the number of connections that are open and not evicted. */
    public int connections() {
        return mRequests.connections();
    }

    /** Returns how often the listener has stopped to accept connections so far. */
    public long acceptStops() {
        return mAcceptStops.sum();
    }

    /** Returns how many connections were closed since their callers did not read responses. */
    public long unreadClosed() {
        return mUnreadClosed.sum();
    }

    /** Returns how many turns to be read connections with costly requests have got so far. */
    public long readTurns() {
        return mGivenTurns.sum();
    }

    /** Returns how many connections have been evicted so far. */
    public long evictions() {
        return mRequests.evictions();
    }
}
