package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.tunnel.TunnelClient;
import org.sesamepin.node.tunnel.TunnelException;
import org.sesamepin.node.tunnel.TunnelLog;

/**
 * Opens requests to targets through peers. Each target has its order of the peers, in proportion to
 * their processor capacity, so that pooled connections are used again. Confined to the event loop.
 */
public final class PeerTunnels {
    /** What peers say of a target that this host cannot connect to. */
    public enum PeerView {
        /** A peer connected to it. */
        REACHED,
        /** A peer that reaches other targets cannot connect to it. */
        UNREACHABLE,
        /** No peer can tell. */
        UNKNOWN
    }

    private static final long ANSWER_TIMEOUT_MS = 300;
    private static final int MAX_PEERS_TO_COMPARE = 3;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final PeerTable mPeers;
    private final TunnelClient mClient;
    private final TunnelLog mLog;
    private final PeerAvoidance mAvoidance = new PeerAvoidance();
    private long mOpened;

    /** Creates an instance that uses the pools of {@code client}. */
    public PeerTunnels(Vertx vertx, Ticker ticker, PeerTable peers, TargetClient client) {
        mVertx = vertx;
        mTicker = ticker;
        mPeers = peers;
        mClient = new TunnelClient(client);
        mLog = new TunnelLog(vertx, "self");
    }

    /** Returns the number of requests that were opened through peers. */
    public long opened() {
        return mOpened;
    }

    /**
     * Connects to a target through a peer; nothing of the request is sent yet.
     *
     * @param maxPeers number of peers to ask, one after the other
     * @return the request; fails with a {@link TunnelException} when no peer connects it
     */
    public Future<HttpClientRequest> open(
            TargetInstance target,
            String requestId,
            RequestOptions options,
            boolean repeatable,
            int maxPeers) {
        return open(target, requestId, options, repeatable, maxPeers, new HashSet<>());
    }

    private Future<HttpClientRequest> open(
            TargetInstance target,
            String requestId,
            RequestOptions options,
            boolean repeatable,
            int maxPeers,
            Set<String> asked) {
        PeerTable.Peer peer = choose(target, requestId, asked);
        if (peer == null) {
            return Future.failedFuture(new TunnelException("no peer to ask", null));
        }
        asked.add(peer.name());
        return openThrough(peer, target, requestId, options, repeatable)
                .onSuccess(request -> mOpened++)
                .recover(
                        e -> {
                            recordFailure(peer, target, requestId, e);
                            if (isTargetUnreachable(e)
                                    || asked.size() >= maxPeers
                                    || choose(target, requestId, asked) == null) {
                                return Future.failedFuture(e);
                            }
                            return open(target, requestId, options, repeatable, maxPeers, asked);
                        });
    }

    private static boolean isTargetUnreachable(Throwable e) {
        return e instanceof TunnelException tunnel && tunnel.isTargetUnreachable();
    }

    private void recordFailure(
            PeerTable.Peer peer, TargetInstance target, String requestId, Throwable e) {
        long now = mTicker.nanoTime();
        mAvoidance.recordFailedTry(now);
        if (!isTargetUnreachable(e)) {
            mAvoidance.avoid(peer.name(), requestId, now);
        }
        mLog.recordFailure(
                requestId,
                peer.name(),
                target.incarnation(),
                e instanceof TunnelException tunnel ? tunnel.outcome() : "failed");
    }

    /** Asks peers whether they reach a target. */
    public Future<PeerView> view(TargetInstance target) {
        RequestOptions options = TargetClient.requestOptions(target.address(), HttpMethod.GET, "/");
        String id = "view-of-" + target.incarnation();
        return open(target, id, options, false, MAX_PEERS_TO_COMPARE)
                .map(
                        request -> {
                            ClientCodec.discard(request);
                            return PeerView.REACHED;
                        })
                .otherwise(e -> isTargetUnreachable(e) ? PeerView.UNREACHABLE : PeerView.UNKNOWN);
    }

    private PeerTable.@Nullable Peer choose(
            TargetInstance target, String requestId, Set<String> asked) {
        long now = mTicker.nanoTime();
        if (!mAvoidance.mayTry(now)) {
            return null;
        }
        List<PeerTable.Peer> peers = new ArrayList<>(mPeers.reachable());
        peers.removeIf(
                peer ->
                        asked.contains(peer.name())
                                || mAvoidance.couldNotHelp(peer.name(), requestId, now));
        // A slow peer is better than none.
        if (!peers.stream().allMatch(peer -> mAvoidance.isAvoided(peer.name(), now))) {
            peers.removeIf(peer -> mAvoidance.isAvoided(peer.name(), now));
        }
        String key = target.incarnation() + '\n' + mPeers.self();
        return peers.stream()
                .max(
                        Comparator.comparingDouble(
                                peer -> Rendezvous.weightedScore(key, peer.name(), peer.cores())))
                .orElse(null);
    }

    private Future<HttpClientRequest> openThrough(
            PeerTable.Peer peer,
            TargetInstance target,
            String requestId,
            RequestOptions options,
            boolean repeatable) {
        Promise<HttpClientRequest> opened = Promise.promise();
        long timer =
                mVertx.setTimer(
                        ANSWER_TIMEOUT_MS,
                        t -> opened.tryFail(new TunnelException("no answer in time", null)));
        mClient.open(addressOf(peer), target, requestId, options, repeatable)
                .onSuccess(
                        request -> {
                            if (!opened.tryComplete(request)) {
                                ClientCodec.discard(request);
                            }
                        })
                .onFailure(opened::tryFail);
        return opened.future().onComplete(done -> mVertx.cancelTimer(timer));
    }

    private static SocketAddress addressOf(PeerTable.Peer peer) {
        String address = peer.address();
        int colon = address.lastIndexOf(':');
        return SocketAddress.inetSocketAddress(
                Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon));
    }
}
