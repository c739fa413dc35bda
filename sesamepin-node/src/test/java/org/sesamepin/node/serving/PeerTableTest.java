package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests how long a peer that sends no message counts as reachable. A host of a large fleet reports
 * to its peers in several rounds, so the timeout has to grow with the number of peers; otherwise
 * live peers would count as unreachable between two reports.
 */
class PeerTableTest {
    private long mNow;

    @ParameterizedTest
    @CsvSource({"7, 1499, true", "7, 1500, false", "62, 23999, true", "62, 24000, false"})
    void contactTimeoutGrowsWithTheNumberOfReportRounds(
            int peers, long sinceLastContactMs, boolean reachable) {
        PeerTable table = new PeerTable(() -> mNow, "self", 1);
        for (int i = 0; i < peers; i++) {
            table.register(new PeerTable.Peer("host-" + i, "127.0.0.1:" + (1_000 + i), 1));
        }
        table.recordContact("host-0", true);
        mNow = TimeUnit.MILLISECONDS.toNanos(sinceLastContactMs);
        assertEquals(reachable, table.find("host-0") != null);
    }

    @Test
    void peerThatDoesNotAnswerIsAvoidedUntilItsNextMessage() {
        PeerTable table = new PeerTable(() -> mNow, "self", 1);
        table.register(new PeerTable.Peer("host-0", "127.0.0.1:1000", 1));
        table.recordContact("host-0", true);
        table.recordNoAnswer("host-0");
        assertNull(table.find("host-0"));
        table.recordContact("host-0", true);
        assertNotNull(table.find("host-0"));
    }

    @Test
    void peerOfALargeFleetIsReachableBeforeItsFirstMessage() {
        PeerTable table = new PeerTable(() -> mNow, "self", 1);
        table.register(new PeerTable.Peer("host-0", "127.0.0.1:1000", 1));
        assertNull(table.find("host-0"));
        for (int i = 1; i < 20; i++) {
            table.register(new PeerTable.Peer("host-" + i, "127.0.0.1:" + (1_000 + i), 1));
        }
        assertNotNull(table.find("host-0"));
    }
}
