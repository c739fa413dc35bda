package org.sesamepin.core.prompt;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Runs tasks in the order of their times. */
final class VirtualClock {
    private record Task(long atMs, long number, Runnable action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
    private long mNowMs;
    private long mTaskCount;

    long nowMs() {
        return mNowMs;
    }

    /** Returns the time of a monotonic clock. */
    long nanoTime() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMs);
    }

    void after(long delayMs, Runnable action) {
        mTasks.add(new Task(mNowMs + delayMs, mTaskCount++, action));
    }

    void every(long periodMs, Runnable action) {
        after(
                periodMs,
                () -> {
                    action.run();
                    every(periodMs, action);
                });
    }

    void runUntil(long endMs) {
        while (!mTasks.isEmpty() && mTasks.peek().atMs() <= endMs) {
            Task task = mTasks.remove();
            mNowMs = task.atMs();
            task.action().run();
        }
    }
}
