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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A flood of log lines to an output that does not take them. */
class BoundedLogQueueTest {
    private static final int QUEUE_LINES = 16;
    private static final int FLOOD_LINES = 10 * QUEUE_LINES;

    /** An output that takes no line until it is opened. */
    private static final class StuckOutput extends AppenderBase<ILoggingEvent> {
        private final CountDownLatch mOpen = new CountDownLatch(1);
        private final List<String> mLines = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent line) {
            try {
                assertTrue(mOpen.await(1, TimeUnit.MINUTES));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            mLines.add(line.getFormattedMessage());
        }
    }

    private final LoggerContext mContext = new LoggerContext();
    private final StuckOutput mOutput = new StuckOutput();
    private final BoundedLogQueue mQueue = new BoundedLogQueue(mContext, QUEUE_LINES);
    private final Logger mLogger = mContext.getLogger("test");

    BoundedLogQueueTest() {
        mContext.setMDCAdapter(new LogbackMDCAdapter());
        mOutput.setContext(mContext);
        mOutput.start();
        mQueue.addAppender(mOutput);
        mQueue.start();
        mLogger.addAppender(mQueue);
    }

    @AfterEach
    void stopLogging() {
        mOutput.mOpen.countDown();
        mContext.stop();
    }

    @Test
    void floodIsCutToTheQueueAndCounted() {
        for (int i = 0; i < FLOOD_LINES; i++) {
            mLogger.info("line {}", i);
        }
        long kept = FLOOD_LINES - mQueue.dropped();
        // Besides the queue, the thread that writes holds what it has taken out.
        assertTrue(kept >= QUEUE_LINES && kept <= 2 * QUEUE_LINES + 1, "kept " + kept);
    }

    @Test
    void numberOfDroppedLinesIsLoggedWhenThereIsRoomAgain() throws Exception {
        for (int i = 0; i < FLOOD_LINES; i++) {
            mLogger.info("line {}", i);
        }
        long dropped = mQueue.dropped();
        mOutput.mOpen.countDown();
        while (mQueue.getNumberOfElementsInQueue() > 0) {
            Thread.sleep(1);
        }
        mLogger.info("after");
        mContext.stop();
        List<String> lines = mOutput.mLines;
        assertEquals("step=log lines=" + dropped + " outcome=dropped", lines.get(lines.size() - 2));
        assertEquals("after", lines.get(lines.size() - 1));
        assertEquals(FLOOD_LINES - dropped + 2, lines.size());
    }
}
