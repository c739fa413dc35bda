package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against counts that a host's end, restart or silence leaves wrong. */
class InFlightTableTest {
    private static final String TARGET = "t0@1";
    private static final Set<Long> NO_NUMBERS = Set.of();

    private final InFlightTable mTable = new InFlightTable();

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private boolean report(int online, long incarnation, long sequence, long upTo, long nowMs) {
        ReportStamp stamp =
                new ReportStamp(incarnation, sequence, new GrantReceipt(upTo, NO_NUMBERS));
        return mTable.recordReport(
                "host",
                Map.of(TARGET, new InFlightTable.Count(online, 0)),
                Set.of(),
                stamp,
                nanos(nowMs));
    }

    private InFlightTable.Count countAt(long nowMs) {
        return mTable.totalsByTarget(nanos(nowMs)).getOrDefault(TARGET, InFlightTable.Count.NONE);
    }

    private int onlineAt(long nowMs) {
        return countAt(nowMs).online();
    }

    private long grantAt(long nowMs) {
        return mTable.recordGrant("host", TARGET, false, nanos(nowMs));
    }

    @Test
    void numbersGrantsOfEachHostWithoutGaps() {
        assertEquals(1, grantAt(0));
        assertEquals(1, mTable.recordGrant("other", TARGET, true, 0));
        assertEquals(2, grantAt(2_000));
    }

    @Test
    void reportOfAFormerProcessDoesNotReplaceThatOfTheNewOne() {
        assertTrue(report(0, 2, 1, 0, 0));
        assertFalse(report(3, 1, 90, 0, 10));
        assertEquals(0, onlineAt(20));
    }

    /** A host whose clock was set back before its restart has a lower incarnation. */
    @Test
    void hostWithALowerIncarnationIsHeardAgainWhenTheFormerReportExpires() {
        assertTrue(report(2, 9, 5, 0, 0));
        assertFalse(report(1, 3, 1, 0, 1_000));
        assertTrue(report(1, 3, 2, 0, 1_501));
        assertEquals(1, onlineAt(1_502));
    }

    @Test
    void grantsToASilentHostEndWithItsReport() {
        report(1, 1, 1, 0, 0);
        grantAt(100);
        assertEquals(2, onlineAt(1_500));
        assertEquals(1, onlineAt(1_501));
        assertEquals(0, onlineAt(1_601));
        assertEquals(0, mTable.unreportedGrants());
    }

    @Test
    void grantThatReportsDoNotNameCountsAsLostAfterAWhile() {
        grantAt(0);
        for (int ms = 500; ms < 1_500; ms += 250) {
            report(0, 1, ms, 0, ms);
            assertEquals(1, onlineAt(ms));
        }
        report(0, 1, 1_500, 0, 1_500);
        assertEquals(0, onlineAt(1_500));
    }

    /** A suspension is counted ahead of the next report, which still has its place in order. */
    @Test
    void suspensionKeepsTheOrderOfReports() {
        ReportStamp stamp = new ReportStamp(1, 5, GrantReceipt.NONE);
        Map<String, InFlightTable.Count> items = Map.of(TARGET, new InFlightTable.Count(0, 2));
        mTable.recordReport("host", items, Set.of(), stamp, 0);
        mTable.recordSuspension("host", TARGET);
        assertFalse(report(4, 1, 4, 0, 10));
        assertEquals(new InFlightTable.Count(0, 1), countAt(20));
    }
}
