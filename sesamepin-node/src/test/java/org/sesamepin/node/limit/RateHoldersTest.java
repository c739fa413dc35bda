package org.sesamepin.node.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.serving.PeerTable;

/**
 * Tests among which hosts the rate of a customer is divided. All hosts have to agree, and a host
 * that left must keep its share for a while, since it may not know that it was removed.
 */
class RateHoldersTest {
    private long mNow;

    private PeerTable fleet(String self, int hosts) {
        PeerTable table = new PeerTable(() -> mNow, self, 1);
        for (int i = 0; i < hosts; i++) {
            table.register(new PeerTable.Peer("host-" + i, "127.0.0.1:" + (1_000 + i), 1));
        }
        return table;
    }

    @Test
    void allHostsOfASmallFleetShareTheRate() {
        assertEquals(8, new RateHolders(fleet("host-0", 8)).holdersOf("customer").size());
    }

    @Test
    void hostsOfALargeFleetAgreeOnTheFewThatShareTheRate() {
        Set<String> holders = new RateHolders(fleet("host-0", 80)).holdersOf("customer");
        assertEquals(12, holders.size());
        assertEquals(holders, new RateHolders(fleet("host-79", 80)).holdersOf("customer"));
    }

    @Test
    void hostThatLeftKeepsItsShareForAWhile() {
        PeerTable table = fleet("host-0", 8);
        RateHolders holders = new RateHolders(table);
        table.unregister("host-3");
        assertTrue(holders.holdersOf("customer").contains("host-3"));
        mNow = TimeUnit.MILLISECONDS.toNanos(3_001);
        assertEquals(7, holders.holdersOf("customer").size());
    }
}
