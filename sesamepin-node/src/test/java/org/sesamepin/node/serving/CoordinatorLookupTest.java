package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.time.Ticker;

/** Guards against two hosts that coordinate one service, and so give out its targets twice. */
class CoordinatorLookupTest {
    private static final int SERVICES = 40;

    private final ServingState mState = new ServingState();
    private final PeerTable mPeers = new PeerTable(Ticker.SYSTEM, "self", 1);

    private long coordinatedHere() {
        CoordinatorLookup lookup = new CoordinatorLookup(Ticker.SYSTEM, mState, mPeers);
        return mState.config().services().stream()
                .filter(spec -> lookup.isCoordinatedHere(spec.name()))
                .count();
    }

    @Test
    void aDrainingHostCoordinatesNothing() {
        List<ServiceSpec> services =
                IntStream.range(0, SERVICES).mapToObj(i -> new ServiceSpec("s" + i, 8)).toList();
        mState.activateIfNewer(
                new ServingConfig(1, List.of(), services, null, ConnectionLimits.DEFAULT));
        mPeers.register(new PeerTable.Peer("other", "127.0.0.1:1", 1));
        mPeers.recordContact("other", true);
        long before = coordinatedHere();
        assertEquals(true, before > 0 && before < SERVICES, before + " services");
        mState.drain(new DrainWindow(0, 0));
        assertEquals(0, coordinatedHere());
    }
}
