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
 * Asynchronous appender with a bounded queue. While the queue is full, lines are dropped and
 * counted: a flood of log lines does not block the threads that log, and the loss is visible,
 * because a line with the number of dropped lines precedes the first line that fits into the queue
 * again.
 */
final class BoundedLogQueue extends AsyncAppender {
    private final AtomicLong mDroppedCount = new AtomicLong();
    private long mReportedDroppedCount;

    /** Creates a queue with room for {@code capacity} lines. */
    BoundedLogQueue(LoggerContext context, int capacity) {
        setContext(context);
        setQueueSize(capacity);
        setDiscardingThreshold(0);
        setNeverBlock(true);
    }

    /** Returns the number of lines dropped so far. */
    long droppedCount() {
        return mDroppedCount.get();
    }

    /**
     * Adds a line to the queue or drops it. Synchronized so that no other thread takes the room
     * that was checked, which would drop a line without counting it.
     */
    @Override
    protected synchronized void append(ILoggingEvent line) {
        long droppedCount = mDroppedCount.get();
        boolean reportDropped = droppedCount > mReportedDroppedCount;
        int neededCapacity = reportDropped ? 2 : 1;
        if (getRemainingCapacity() < neededCapacity) {
            mDroppedCount.incrementAndGet();
            return;
        }
        if (reportDropped) {
            super.append(droppedLinesEvent(droppedCount - mReportedDroppedCount));
            mReportedDroppedCount = droppedCount;
        }
        super.append(line);
    }

    private ILoggingEvent droppedLinesEvent(long lineCount) {
        Logger logger = ((LoggerContext) getContext()).getLogger(BoundedLogQueue.class);
        @Nullable Object[] arguments = {lineCount};
        return new LoggingEvent(
                BoundedLogQueue.class.getName(),
                logger,
                Level.WARN,
                "step=log lines={} outcome=dropped",
                null,
                arguments);
    }
}
