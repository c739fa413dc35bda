package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.LoggerFactory;

/** Tests which orders are in force at a host, what it tells its peers, and what it logs. */
class EvacuationTrackerTest {
    private static final String ORDER = "config/evacuate/b";

    private final ListAppender<ILoggingEvent> mLines = new ListAppender<>();
    private final ServingState mState = new ServingState();
    private final EvacuationTracker mTracker = newTracker(mState);

    private static EvacuationTracker newTracker(ServingState state) {
        return new EvacuationTracker(
                new PlainProtocol(ServingConfig.NONE), state, new WarmUpTracker(() -> 0, state));
    }

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger(EvacuationTracker.class);
    }

    @BeforeEach
    void readLog() {
        mLines.start();
        logger().addAppender(mLines);
    }

    @AfterEach
    void close() {
        logger().detachAppender(mLines);
    }

    private static StoreEntry entry(String key, long revision) {
        return new StoreEntry(key, new byte[0], revision);
    }

    private static StoreListing listing(long revision, String... keys) {
        List<StoreEntry> entries = new ArrayList<>();
        for (String key : keys) {
            entries.add(entry(key, 1));
        }
        return new StoreListing(revision, entries);
    }

    private static StoreChanges deletion(long revision) {
        return new StoreChanges(revision, List.of(new StoreChange(ORDER, null, revision)), false);
    }

    private static HostReport emptyReport() {
        return new HostReport(
                "h", 1, 1, true, List.of(), List.of(), Map.of(), 0, List.of(), Map.of());
    }

    private static TargetInstance target(String domain) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance("t", 1, "s", "v1", address, domain, 8, TargetState.READY, 0);
    }

    private long lines(String text) {
        return mLines.list.stream()
                .filter(line -> line.getFormattedMessage().contains(text))
                .count();
    }

    @Test
    void otherKeysOfTheListingAreNoOrders() {
        mTracker.onListing(listing(5, "config/c", ORDER), false);
        assertEquals(Set.of("b"), mState.evacuation().domains());
        mTracker.onChanges(deletion(6), false);
        assertEquals(Set.of(), mState.evacuation().domains());
    }

    /** Guards against an order that ends, or comes back, by the report of a host that is behind. */
    @Test
    void aReportCountsOnlyIfItsSenderHasReadTheStoreLater() {
        ServingState peerState = new ServingState();
        EvacuationTracker peer = newTracker(peerState);
        peer.onListing(listing(5), false);
        HostReport before = emptyReport();
        peer.addTo(before);
        mTracker.onListing(listing(7, ORDER), false);
        mTracker.recordReport(before);
        assertEquals(Set.of("b"), mState.evacuation().domains());
        peer.onListing(listing(8), false);
        HostReport after = emptyReport();
        peer.addTo(after);
        mTracker.recordReport(after);
        assertEquals(Set.of(), mState.evacuation().domains());
    }

    /** Hosts of older versions say nothing of orders, which must not be read as "none". */
    @Test
    void aReportWithoutOrdersChangesNothing() {
        mTracker.onListing(listing(7, ORDER), false);
        mTracker.recordReport(emptyReport());
        assertEquals(Set.of("b"), mState.evacuation().domains());
    }

    @Test
    void aHostThatHasReadNothingReportsNothing() {
        HostReport report = emptyReport();
        mTracker.addTo(report);
        assertFalse(report.isSetEvacuatedDomains());
        assertFalse(report.isSetEvacuationRevision());
    }

    @Test
    void onlyALaterListingWithoutTheOrderShowsItsDeletion() {
        mTracker.onListing(listing(7, ORDER), false);
        assertFalse(mTracker.isOutdatedBy(listing(7)));
        assertFalse(mTracker.isOutdatedBy(listing(9, ORDER)));
        assertTrue(mTracker.isOutdatedBy(listing(9)));
    }

    /** Guards against a misspelt order that nobody sees, and against a line each second. */
    @Test
    void anUnknownDomainIsLoggedOnceAndHoldsForTargetsThatRegisterLater() {
        mTracker.onListing(listing(7, ORDER), false);
        mTracker.warnOfUnknownDomains();
        assertEquals(0, lines("unknown-domain"), "before the targets are known");
        mState.setTargets(List.of(target("a")));
        mTracker.warnOfUnknownDomains();
        mTracker.warnOfUnknownDomains();
        assertEquals(1, lines("domain=b outcome=unknown-domain"));
        mState.setTargets(List.of(target("b")));
        assertFalse(mState.targets().isReady(target("b")));
        assertEquals(Set.of("t@1"), mState.withdrawnTargets());
    }

    @Test
    void eachOrderIsLoggedWhenItComesAndWhenItIsTakenBack() {
        mTracker.onListing(listing(7, ORDER), false);
        mTracker.onListing(listing(8, ORDER), false);
        mTracker.onChanges(deletion(9), false);
        assertEquals(1, lines("outcome=in-force"));
        assertEquals(1, lines("outcome=lifted"));
    }
}
