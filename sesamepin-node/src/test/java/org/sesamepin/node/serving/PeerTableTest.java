package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
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
    @CsvSource({"7, 1499, true", "7, 1500, false", "62, 8999, true", "62, 9000, false"})
    void contactTimeoutGrowsWithTheNumberOfReportRounds(
            int peers, long sinceLastContactMs, boolean reachable) {
        PeerTable table = new PeerTable(() -> mNow, "self");
        for (int i = 0; i < peers; i++) {
            table.register(new PeerTable.Peer("host-" + i, "127.0.0.1:" + (1_000 + i)));
        }
        table.recordContact("host-0", true);
        mNow = TimeUnit.MILLISECONDS.toNanos(sinceLastContactMs);
        assertEquals(reachable, table.find("host-0") != null);
    }
}
