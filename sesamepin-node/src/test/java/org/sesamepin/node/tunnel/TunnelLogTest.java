package org.sesamepin.node.tunnel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Checks how many lines tunnels that do not open leave. */
class TunnelLogTest {
    private static final long WINDOW_MS = 1_000;
    private static final int MAX_WAIT_MS = 5_000;
    private static final int MAX_LINES = 4;

    private final Vertx mVertx = Vertx.vertx();
    private final TunnelLog mLog = new TunnelLog(mVertx, "self");
    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> mAppender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    mLines.add(event.getFormattedMessage());
                }
            };

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger(TunnelLog.class);
    }

    @BeforeEach
    void listen() {
        mAppender.start();
        logger().addAppender(mAppender);
    }

    @AfterEach
    void close() {
        logger().detachAppender(mAppender);
        mVertx.close();
    }

    private void fail(int tunnels, String outcome) {
        mVertx.runOnContext(
                v -> {
                    for (int i = 0; i < tunnels; i++) {
                        mLog.recordFailure("r" + i, "p", "t@1", outcome);
                    }
                });
    }

    private void awaitLines(int lines) throws InterruptedException {
        long deadline = System.currentTimeMillis() + MAX_WAIT_MS;
        while (mLines.size() < lines && System.currentTimeMillis() < deadline) {
            Thread.sleep(10);
        }
        assertEquals(lines, mLines.size(), mLines.toString());
    }

    @Test
    void failuresInNumbersAreCountedInOneLine() throws Exception {
        fail(100, "refused");
        fail(50, "isolated");

        awaitLines(MAX_LINES);

        assertTrue(mLines.get(0).contains("request=r0 peer=p target=t@1 outcome=refused"));
        String last = mLines.get(MAX_LINES - 1);
        assertTrue(last.contains("more={isolated=50, refused=97}"), last);
    }

    @Test
    void singleFailureHasItsLine() throws Exception {
        fail(1, "busy");

        awaitLines(1);
        Thread.sleep(WINDOW_MS + 200);
        fail(1, "busy");

        awaitLines(2);
    }
}
