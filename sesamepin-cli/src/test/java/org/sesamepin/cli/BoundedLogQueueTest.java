package org.sesamepin.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a flood of log lines to a blocked output is bounded, and the loss reported. */
class BoundedLogQueueTest {
    private static final Pattern DROPPED_LINES_PATTERN =
            Pattern.compile("step=log lines=(\\d+) outcome=dropped");
    private static final int QUEUE_LINES = 16;
    private static final int FLOOD_LINES = 10 * QUEUE_LINES;

    /** An appender that blocks until it is released. */
    private static final class BlockedAppender extends AppenderBase<ILoggingEvent> {
        private final Semaphore mUnblocked = new Semaphore(0);
        private final List<String> mLines = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent line) {
            // The queue interrupts its worker thread when it stops, but still writes the queued
            // lines.
            mUnblocked.acquireUninterruptibly();
            mUnblocked.release();
            mLines.add(line.getFormattedMessage());
        }
    }

    private final LoggerContext mContext = new LoggerContext();
    private final BlockedAppender mBlockedAppender = new BlockedAppender();
    private final BoundedLogQueue mQueue = new BoundedLogQueue(mContext, QUEUE_LINES);
    private final Logger mLogger = mContext.getLogger("test");

    BoundedLogQueueTest() {
        mContext.setMDCAdapter(new LogbackMDCAdapter());
        mBlockedAppender.setContext(mContext);
        mBlockedAppender.start();
        mQueue.addAppender(mBlockedAppender);
        mQueue.start();
        mLogger.addAppender(mQueue);
    }

    @AfterEach
    void unblockAndStop() {
        mBlockedAppender.mUnblocked.release();
        mContext.stop();
    }

    @Test
    void dropsAndCountsLinesWhileTheQueueIsFull() {
        for (int i = 0; i < FLOOD_LINES; i++) {
            mLogger.info("line {}", i);
        }
        long kept = FLOOD_LINES - mQueue.droppedCount();
        // The worker thread holds the lines that it has taken out of the queue, so up to one more
        // queue and one line can be kept.
        assertTrue(kept >= QUEUE_LINES && kept <= 2 * QUEUE_LINES + 1, "kept " + kept);
    }

    @Test
    void logsTheDroppedCountOnceTheQueueHasRoom() throws Exception {
        for (int i = 0; i < FLOOD_LINES; i++) {
            mLogger.info("line {}", i);
        }
        long dropped = mQueue.droppedCount();
        mBlockedAppender.mUnblocked.release();
        while (mQueue.getNumberOfElementsInQueue() > 0) {
            Thread.sleep(1);
        }
        mLogger.info("after");
        mContext.stop();
        List<String> lines = mBlockedAppender.mLines;
        assertEquals("after", lines.get(lines.size() - 1));
        assertTrue(
                DROPPED_LINES_PATTERN.matcher(lines.get(lines.size() - 2)).matches(),
                lines::toString);
        // The queue may have had room for a moment during the flood and reported the lines dropped
        // until then, so the reported counts are summed.
        long reported = lines.stream().mapToLong(BoundedLogQueueTest::parseDroppedCount).sum();
        assertEquals(dropped, reported);
        long kept = lines.stream().filter(line -> line.startsWith("line ")).count();
        assertEquals(FLOOD_LINES - dropped, kept);
    }

    private static long parseDroppedCount(String line) {
        Matcher matcher = DROPPED_LINES_PATTERN.matcher(line);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
