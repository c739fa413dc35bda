package org.sesamepin.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Writes log lines from a bounded queue on a thread of its own. While the queue is full, lines are
 * dropped and counted, so that a flood of requests is neither held up by its log nor hidden: the
 * first line that finds room again is preceded by one with the count.
 */
final class BoundedLogQueue extends AsyncAppender {
    private final AtomicLong mDropped = new AtomicLong();
    private long mReported;

    /** Creates a queue of {@code lines} lines. */
    BoundedLogQueue(LoggerContext context, int lines) {
        setContext(context);
        setQueueSize(lines);
        setDiscardingThreshold(0);
        setNeverBlock(true);
    }

    /** Returns the number of lines that were dropped. */
    long dropped() {
        return mDropped.get();
    }

    /** Queues a line; only one thread at a time, so that no line is dropped without its count. */
    @Override
    protected synchronized void append(ILoggingEvent line) {
        long dropped = mDropped.get();
        boolean report = dropped > mReported;
        int wanted = report ? 2 : 1;
        if (getRemainingCapacity() < wanted) {
            mDropped.incrementAndGet();
            return;
        }
        if (report) {
            super.append(droppedLine(dropped - mReported));
            mReported = dropped;
        }
        super.append(line);
    }

    private ILoggingEvent droppedLine(long lines) {
        Logger logger = ((LoggerContext) getContext()).getLogger(BoundedLogQueue.class);
        @Nullable Object[] arguments = {lines};
        return new LoggingEvent(
                BoundedLogQueue.class.getName(),
                logger,
                Level.WARN,
                "step=log lines={} outcome=dropped",
                null,
                arguments);
    }
}
