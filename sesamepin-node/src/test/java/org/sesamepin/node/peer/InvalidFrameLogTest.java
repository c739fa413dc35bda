package org.sesamepin.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.LogLines;

/** Guards against a log that a peer fills which connects again after each undecodable frame. */
class InvalidFrameLogTest {
    private static final int HOSTS = 300;

    private final AtomicLong mNow = new AtomicLong(-5);
    private final InvalidFrameLog mLog = new InvalidFrameLog(mNow::get);

    private static SocketAddress sender(int host, int port) {
        return SocketAddress.inetSocketAddress(port, "10.0." + host / 100 + '.' + host % 100);
    }

    @Test
    void hostIsLoggedOnceAMinuteWhateverItsPortIs() {
        try (LogLines lines = new LogLines()) {
            for (int port = 1; port <= 50; port++) {
                mLog.record(sender(1, port));
                mLog.record(sender(2, port));
            }
            assertEquals(2, lines.all().size(), lines.all().toString());
            mNow.addAndGet(TimeUnit.MINUTES.toNanos(1));
            mLog.record(sender(1, 51));
            assertEquals(3, lines.all().size(), lines.all().toString());
            assertEquals("step=peer-call peer=10.0.0.1:51 outcome=unusable", lines.all().get(2));
        }
    }

    @Test
    void hostsBeyondTheRememberedOnesAreLoggedToo() {
        try (LogLines lines = new LogLines()) {
            for (int host = 0; host < HOSTS; host++) {
                mLog.record(sender(host, 1));
            }
            assertEquals(HOSTS, lines.all().size());
        }
    }
}
