package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.StoreRelay;
import org.sesamepin.node.peer.generated.StoreRelayReply;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.WatchableStore;

/** Reaches the store through a peer, for a host that the store turns away; and relays for peers. */
final class StoreDetour {
    private static final long MARGIN_MS = 300;

    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final WatchableStore mStore;
    private final List<String> mSeeds;

    StoreDetour(
            PeerTable peers,
            PeerClient client,
            WatchableStore store,
            List<InetSocketAddress> seeds) {
        mPeers = peers;
        mClient = client;
        mStore = store;
        mSeeds = seeds.stream().map(NodeSettings::formatAddress).toList();
    }

    /** Peers that the store answers; the seeds while no peer is known. */
    private List<String> relays() {
        List<String> peers = mPeers.withStore().stream().map(PeerTable.Peer::address).toList();
        return peers.isEmpty() && mPeers.registered().isEmpty() ? mSeeds : peers;
    }

    /** Makes a call through some peer that the store answers. */
    Future<StoreRelayCall.Reply> call(StoreRelayCall call) {
        List<String> peers = relays();
        if (peers.isEmpty()) {
            return Future.failedFuture(
                    new SesamepinException(Step.PEER_CALL, "-", "no peer reaches the store"));
        }
        String peer = peers.get(ThreadLocalRandom.current().nextInt(peers.size()));
        StoreRelay relay =
                new StoreRelay(
                        call.method(), call.uri(), ByteBuffer.wrap(call.body()), call.timeoutMs());
        long timeoutMs = call.timeoutMs() + MARGIN_MS;
        return mClient.call(peer, PeerRequest.storeRelay(relay), timeoutMs)
                .map(PeerReply::getStoreRelay)
                .map(reply -> new StoreRelayCall.Reply(reply.getStatus(), reply.getBody()));
    }

    /** Makes a call for a peer. */
    Future<PeerReply> relay(StoreRelay relay) {
        StoreRelayCall call =
                new StoreRelayCall(
                        relay.getMethod(), relay.getUri(), relay.getBody(), relay.getTimeoutMs());
        return mStore.relay(call)
                .map(
                        reply -> {
                            StoreRelayReply answer = new StoreRelayReply();
                            answer.setStatus(reply.status());
                            answer.setBody(reply.body());
                            return PeerReply.storeRelay(answer);
                        });
    }
}
