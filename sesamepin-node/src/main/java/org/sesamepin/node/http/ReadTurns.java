package org.sesamepin.node.http;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Lets the connections of one event loop read in turns when they cost much work. One connection
 * gets a turn between two passes of the loop over all connections that are ready: that with the
 * least work of late, then that which waits for longest. Confined to the event loop.
 */
final class ReadTurns {
    private final EventLoop mEventLoop;
    private final Queue<Waiter> mWaiters =
            new PriorityQueue<>(
                    Comparator.comparingLong(Waiter::work).thenComparingLong(Waiter::number));
    private long mNumber;
    private boolean mIsScheduled;

    ReadTurns(EventLoop eventLoop) {
        mEventLoop = eventLoop;
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
            next.onTurn().run();
        }
        schedule();
    }
}
