package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.PeerReply;

/**
 * Guards against a coordinator that answers each report of an ended request with a whole report of
 * its own, and against hosts of older versions that get none.
 */
class ReportReplyTest {
    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private final ReportExchange mReports = newReportExchange();

    private ReportExchange newReportExchange() {
        ServingState state = mFixture.state();
        PlainProtocol protocol = new PlainProtocol(ServingConfig.NONE);
        return new ReportExchange(
                mVertx,
                Ticker.SYSTEM,
                state,
                mFixture.peers(),
                mFixture.peerClient(),
                mFixture.context().loads(),
                mFixture.context().placementClient(),
                new ServingFixture.NoBatchWork(),
                mFixture.context().promptGuard(),
                new ConfigVerifier(
                        mVertx, Ticker.SYSTEM, state, () -> 1, () -> ConfigVerifier.Duty.SHARED),
                new PeerConfigReader(
                        state,
                        mFixture.peers(),
                        mFixture.peerClient(),
                        new ConfigUpdater(protocol, state)),
                new EvacuationTracker(protocol, state, new WarmUpTracker(Ticker.SYSTEM, state)),
                1,
                () -> true,
                List.of());
    }

    private static HostReport report() {
        return new HostReport(
                "peer", 1, 0, true, List.of(), List.of(), Map.of(), 0, List.of(), Map.of());
    }

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    @Test
    void reportIsAnsweredWithAReport() {
        assertEquals(PeerReply._Fields.REPORT, mReports.handleReport(report()).getSetField());
    }

    @Test
    void reportThatNeedsNoReplyIsOnlyAcknowledged() {
        PeerReply reply = mReports.handleReport(report().setNoReply(true));
        assertEquals(PeerReply._Fields.DONE, reply.getSetField());
    }
}
