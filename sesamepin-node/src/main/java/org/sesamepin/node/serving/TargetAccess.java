package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.prompt.LostTarget;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.tunnel.TunnelServer;

/** The components with which this host reaches targets, and lets peers reach them through it. */
final class TargetAccess implements AutoCloseable {
    /** So many that hardly all of them are cut off while others are not. */
    private static final int MAX_PEERS_TO_CONFIRM = 8;

    private final ServingState mState;
    private final TargetClient mClient;
    private final TargetReachability mReachability;
    private final PeerTunnels mPeerTunnels;
    private final TunnelServer mTunnelServer;
    private final TargetConnector mConnector;

    TargetAccess(Vertx vertx, Ticker ticker, ServingState state, LoadTable loads, PeerTable peers) {
        mState = state;
        mClient = new TargetClient(vertx);
        mPeerTunnels = new PeerTunnels(vertx, ticker, peers, mClient);
        mReachability = new TargetReachability(vertx, ticker, state, loads, mPeerTunnels);
        mTunnelServer = new TunnelServer(vertx, this::addressOf, mReachability);
        mConnector = new TargetConnector(vertx, mClient, mPeerTunnels, mReachability);
    }

    TargetClient client() {
        return mClient;
    }

    TargetConnector connector() {
        return mConnector;
    }

    TunnelServer tunnelServer() {
        return mTunnelServer;
    }

    /** Returns whether requests of peers may still run through this host. */
    boolean hasTunnels() {
        return mTunnelServer.openTunnels() > 0;
    }

    /**
     * Returns the address of a target to which peers may connect through this host. Peers that do
     * not know yet that its failure domain is evacuated get none.
     */
    private @Nullable InetSocketAddress addressOf(String incarnation) {
        if (mState.isDraining()) {
            return null;
        }
        TargetInstance target = mState.targets().findIncarnation(incarnation);
        return target == null || mState.targets().isEvacuated(target) ? null : target.address();
    }

    /** Returns whether a target has ended that refuses the connections of this host. */
    Future<Boolean> hasEnded(LostTarget lost) {
        return mReachability
                .isSound()
                .compose(
                        sound ->
                                sound
                                        ? Future.succeededFuture(true)
                                        : isUnreachableFromPeers(lost));
    }

    private Future<Boolean> isUnreachableFromPeers(LostTarget lost) {
        TargetInstance target = mState.targets().findIncarnation(lost.id());
        return target == null
                ? Future.succeededFuture(false)
                : mPeerTunnels.view(target, MAX_PEERS_TO_CONFIRM).map(this::showsEnd);
    }

    /** A refusal is that of an ended target when no host that is asked reaches any target. */
    private boolean showsEnd(PeerTunnels.PeerView view) {
        return switch (view) {
            case REACHED -> false;
            case UNREACHABLE -> true;
            case UNKNOWN -> !mReachability.isIsolated();
        };
    }

    /** Registers the metrics about the path to the targets. */
    void registerMetrics(ServingMetrics metrics) {
        metrics.gauge(
                "sesamepin_isolated",
                "1 while this host is cut off from the targets.",
                () -> mReachability.isIsolated() ? 1 : 0);
        metrics.counter(
                "sesamepin_isolations",
                "Times that this host was found to be cut off from the targets.",
                mReachability::isolations);
        metrics.counter(
                "sesamepin_tunnels_opened",
                "Requests of this host opened through a peer.",
                mPeerTunnels::opened);
        metrics.counter(
                "sesamepin_tunnels_accepted",
                "Tunnels of peers connected to a target by this host.",
                mTunnelServer::acceptedTunnels);
        metrics.gauge(
                "sesamepin_tunnels_open",
                "Tunnels of peers through this host.",
                mTunnelServer::openTunnels);
    }

    @Override
    public void close() {
        mReachability.close();
        mTunnelServer.close();
        mClient.close();
    }
}
