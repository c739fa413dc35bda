package org.sesamepin.node.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;

/**
 * Bounds the work of an event loop for one connection before it serves the next: reads little at a
 * time, and in turns with others when the decoded parts of late were many. Confined to the event
 * loop.
 */
final class ReadPace {
    /** Decoded parts per second, about, that wait for no turn. */
    private static final long FREE_WORK = 512;

    /** Bytes that count as much as a decoded part. */
    private static final int BYTES_PER_WORK = 1_024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 4_096;
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Channel mChannel;
    private final ReadTurns mTurns;
    private final Ticker mTicker;
    private long mWindowStart;
    private long mWork;
    private boolean mAwaitsTurn;
    private boolean mIsStopped;

    ReadPace(Channel channel, ReadTurns turns, Ticker ticker) {
        mChannel = channel;
        mTurns = turns;
        mTicker = ticker;
        mWindowStart = ticker.nanoTime();
        RecvByteBufAllocator reads =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                        .maxMessagesPerRead(1);
        channel.config().setOption(ChannelOption.RCVBUF_ALLOCATOR, reads);
    }

    /** Records decoded parts (lines, chunks) and bytes. */
    void record(long parts, long bytes) {
        mWork += parts + bytes / BYTES_PER_WORK;
    }

    /**
     * Ends a read. Stops reading until {@link #resume} when the connection has no use for more, or
     * until its turn when its work of late was much.
     */
    void endRead(boolean hasEnough) {
        long windows = (mTicker.nanoTime() - mWindowStart) / WINDOW_NANOS;
        mWindowStart += windows * WINDOW_NANOS;
        mWork >>= Math.min(windows, Long.SIZE - 1);
        if (!mChannel.config().isAutoRead()) {
            // The server has stopped reading. It resumes by itself, and the next read ends here.
            return;
        }
        if (hasEnough) {
            mIsStopped = true;
            mChannel.config().setAutoRead(false);
        } else if (mWork > FREE_WORK) {
            mChannel.config().setAutoRead(false);
            awaitTurn();
        }
    }

    private void awaitTurn() {
        if (!mAwaitsTurn) {
            mAwaitsTurn = true;
            mTurns.await(mWork, this::onTurn);
        }
    }

    private void onTurn() {
        mAwaitsTurn = false;
        read();
    }

    /**
     * Runs a task that decodes what has been read already: in a later pass of the loop, and in turn
     * when the connection's work of late was much. A task that is executed instead runs in the same
     * pass, and the loop does not look at other connections while there are tasks.
     */
    void decodeLater(Runnable task) {
        if (mWork > FREE_WORK) {
            mTurns.await(mWork, task);
        } else {
            mChannel.eventLoop().schedule(task, 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Reads on after a read that brought enough. */
    void resume() {
        if (mIsStopped) {
            mIsStopped = false;
            read();
        }
    }

    private void read() {
        if (!mAwaitsTurn && !mIsStopped && mChannel.isOpen()) {
            mChannel.config().setAutoRead(true);
        }
    }
}
