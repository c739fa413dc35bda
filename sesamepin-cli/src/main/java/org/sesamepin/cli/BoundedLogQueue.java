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
    private final AtomicLong mDroppedCount = new AtomicLong();
    private long mReportedDroppedCount;

    /** Creates a queue of {@code lines} lines. */
    BoundedLogQueue(LoggerContext context, int lines) {
        setContext(context);
        setQueueSize(lines);
        setDiscardingThreshold(0);
        setNeverBlock(true);
    }

    /** Returns the number of lines that were dropped. */
    long droppedCount() {
        return mDroppedCount.get();
    }

    /** Queues a line; only one thread at a time, so that no line is dropped without its count. */
    @Override
    protected synchronized void append(ILoggingEvent line) {
        long dropped = mDroppedCount.get();
        boolean report = dropped > mReportedDroppedCount;
        int wanted = report ? 2 : 1;
        if (getRemainingCapacity() < wanted) {
            mDroppedCount.incrementAndGet();
            return;
        }
        if (report) {
            super.append(droppedLinesEvent(dropped - mReportedDroppedCount));
            mReportedDroppedCount = dropped;
        }
        super.append(line);
    }

    private ILoggingEvent droppedLinesEvent(long lines) {
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
