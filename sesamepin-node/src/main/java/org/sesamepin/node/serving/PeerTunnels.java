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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.tunnel.TunnelClient;
import org.sesamepin.node.tunnel.TunnelException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens requests to targets through peers. Each target has its order of the peers, in proportion to
 * their processor capacity, so that pooled connections are used again. Confined to the event loop.
 */
public final class PeerTunnels {
    private static final Logger LOG = LoggerFactory.getLogger(PeerTunnels.class);
    private static final long ANSWER_TIMEOUT_MS = 300;
    private static final int MAX_PEERS_TO_CONFIRM = 2;
    private static final long AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final PeerTable mPeers;
    private final TunnelClient mClient;

    /** Until when peers that could not help are avoided, by name. */
    private final Map<String, Long> mAvoidUntil = new HashMap<>();

    private long mOpened;

    /** Creates an instance that uses the pools of {@code client}. */
    public PeerTunnels(Vertx vertx, Ticker ticker, PeerTable peers, TargetClient client) {
        mVertx = vertx;
        mTicker = ticker;
        mPeers = peers;
        mClient = new TunnelClient(client);
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
        PeerTable.Peer peer = choose(target, asked);
        if (peer == null) {
            return Future.failedFuture(new TunnelException("no peer to ask", null));
        }
        asked.add(peer.name());
        return openThrough(peer, target, requestId, options, repeatable)
                .onSuccess(request -> mOpened++)
                .recover(
                        e -> {
                            logFailure(peer, target, requestId, e);
                            boolean unreachable =
                                    e instanceof TunnelException t && t.isTargetUnreachable();
                            if (!unreachable) {
                                avoid(peer);
                            }
                            if (asked.size() >= maxPeers || choose(target, asked) == null) {
                                return Future.failedFuture(e);
                            }
                            return open(target, requestId, options, repeatable, maxPeers, asked);
                        });
    }

    /** Returns whether a peer that is not cut off cannot reach a target. */
    public Future<Boolean> isUnreachable(TargetInstance target) {
        RequestOptions options = TargetClient.requestOptions(target.address(), HttpMethod.GET, "/");
        return open(target, "-", options, false, MAX_PEERS_TO_CONFIRM)
                .map(
                        request -> {
                            ClientCodec.discard(request);
                            return false;
                        })
                .otherwise(e -> e instanceof TunnelException t && t.isTargetUnreachable());
    }

    private static void logFailure(
            PeerTable.Peer peer, TargetInstance target, String requestId, Throwable e) {
        LOG.info(
                "step=tunnel side=self request={} peer={} target={} outcome={}",
                requestId,
                peer.name(),
                target.incarnation(),
                e instanceof TunnelException t ? t.outcome() : "failed");
    }

    private void avoid(PeerTable.Peer peer) {
        mAvoidUntil.put(peer.name(), mTicker.nanoTime() + AVOIDANCE_NANOS);
    }

    private PeerTable.@Nullable Peer choose(TargetInstance target, Set<String> asked) {
        long now = mTicker.nanoTime();
        mAvoidUntil.values().removeIf(until -> now - until >= 0);
        List<PeerTable.Peer> peers = new ArrayList<>(mPeers.reachable());
        peers.removeIf(peer -> asked.contains(peer.name()));
        // A slow peer is better than none.
        if (!peers.stream().allMatch(this::isAvoided)) {
            peers.removeIf(this::isAvoided);
        }
        String key = target.incarnation() + '\n' + mPeers.self();
        return peers.stream()
                .max(
                        Comparator.comparingDouble(
                                peer -> Rendezvous.weightedScore(key, peer.name(), peer.cores())))
                .orElse(null);
    }

    private boolean isAvoided(PeerTable.Peer peer) {
        return mAvoidUntil.containsKey(peer.name());
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
