package org.sesamepin.node.http;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Lets the connections of one event loop read, and decode what waits, in turns when they cost much
 * work. One connection gets a turn between two passes of the loop over all connections that are
 * ready: that with the least work of late, then that which waits for longest. Confined to the event
 * loop.
 */
final class ReadTurns {
    private final EventLoop mEventLoop;
    private final LongAdder mTurns;
    private final Queue<Waiter> mWaiters =
            new PriorityQueue<>(
                    Comparator.comparingLong(Waiter::work).thenComparingLong(Waiter::number));
    private long mNumber;
    private boolean mIsScheduled;

    /**
     * Creates an instance without connections.
     *
     * @param turns counts the turns given
     */
    ReadTurns(EventLoop eventLoop, LongAdder turns) {
        mEventLoop = eventLoop;
        mTurns = turns;
    }

    private record Waiter(long work, long number, Runnable onTurn) {}

    /**
     * Waits for a turn.
     *
     * @param work work of the connection of late
     * @param onTurn runs when the connection may be read once
     */
    void await(long work, Runnable onTurn) {
        mWaiters.add(new Waiter(work, mNumber++, onTurn));
        schedule();
    }

    /** Schedules the next turn: tasks that are due later run once in a pass of the loop. */
    private void schedule() {
        if (!mIsScheduled && !mWaiters.isEmpty()) {
            mIsScheduled = true;
            mEventLoop.schedule(this::giveTurn, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void giveTurn() {
        mIsScheduled = false;
        Waiter next = mWaiters.poll();
        if (next != null) {
            mTurns.increment();
            next.onTurn().run();
        }
        schedule();
    }
}
