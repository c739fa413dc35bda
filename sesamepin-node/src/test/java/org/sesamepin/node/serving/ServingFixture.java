package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Random;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.prompt.PromptSuspects;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetSelector;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.prompt.PromptGuard;
import org.sesamepin.node.prompt.QuarantineStorage;
import org.sesamepin.node.prompt.ServiceTargets;
import org.sesamepin.node.stream.StoredStreamOrigins;
import org.sesamepin.node.target.TargetClient;

/**
 * The components of a node that requests use, with a protocol of the test's own and without peers.
 */
public final class ServingFixture implements AutoCloseable {
    private final PeerClient mPeerClient;
    private final TargetClient mTargetClient;
    private final PeerTable mPeers = new PeerTable(Ticker.SYSTEM, "self", 1);
    private final ServingState mState = new ServingState();
    private final ServingContext mContext;
    private final TargetReachability mReachability;

    /** Creates the components. */
    public ServingFixture(Vertx vertx) {
        StoredStreamOrigins streamOrigins =
                new StoredStreamOrigins(
                        vertx,
                        Ticker.SYSTEM,
                        new MemoryStore(),
                        mState,
                        "self",
                        () -> 1,
                        key -> false);
        mPeerClient = new PeerClient(vertx);
        mTargetClient = new TargetClient(vertx);
        LoadTable loads = new LoadTable(Ticker.SYSTEM);
        PeerTunnels tunnels = new PeerTunnels(vertx, Ticker.SYSTEM, mPeers, mTargetClient);
        mReachability = new TargetReachability(vertx, Ticker.SYSTEM, mState, loads, tunnels);
        ServingMetrics metrics = new ServingMetrics();
        TargetSelector targetSelector = new TargetSelector(loads::loadOf, "a", new Random(1));
        PlacementClient placementClient =
                new PlacementClient(
                        vertx,
                        Ticker.SYSTEM,
                        mState,
                        mPeers,
                        mPeerClient,
                        targetSelector,
                        metrics,
                        new NoBatchWork(),
                        loads.limits(),
                        loads.paces());
        mContext =
                new ServingContext(
                        vertx,
                        Ticker.SYSTEM,
                        new PlainProtocol(ServingConfig.NONE),
                        mState,
                        loads,
                        placementClient,
                        mTargetClient,
                        new TargetConnector(vertx, mTargetClient, tunnels, mReachability),
                        new CustomerRateLimiter(
                                vertx, Ticker.SYSTEM, mState, mPeers, mPeerClient, metrics),
                        new PromptGuard(
                                vertx,
                                Ticker.SYSTEM,
                                PromptSuspects.TargetIdentity.INCARNATION,
                                new RegisteredHosts(mPeers),
                                mPeerClient,
                                lost -> Future.succeededFuture(true),
                                ServiceTargets.NONE,
                                new QuarantineStorage(
                                        ServingKeys.promptQuarantinePrefix(),
                                        new MemoryStore()::commit)),
                        new EventLoopLag(vertx, Ticker.SYSTEM),
                        streamOrigins,
                        metrics);
    }

    public ServingContext context() {
        return mContext;
    }

    public ServingState state() {
        return mState;
    }

    public PeerTable peers() {
        return mPeers;
    }

    public PeerClient peerClient() {
        return mPeerClient;
    }

    @Override
    public void close() {
        mReachability.close();
        mTargetClient.close();
        mPeerClient.close();
    }

    /** Batch work of a host without jobs. */
    static final class NoBatchWork implements BatchWork {
        @Override
        public boolean suspendOne(TargetInstance target) {
            return false;
        }

        @Override
        public boolean runOne(String service, TargetInstance target) {
            return false;
        }

        @Override
        public Map<String, Integer> waitingItems() {
            return Map.of();
        }

        @Override
        public long firstDueInMs() {
            return 0;
        }

        @Override
        public ItemRunTimes runTimes() {
            return new ItemRunTimes();
        }
    }
}
