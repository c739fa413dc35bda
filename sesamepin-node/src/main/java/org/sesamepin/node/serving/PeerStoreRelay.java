package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.sesamepin.core.error.Execution;
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

/**
 * Relays calls to the store: sends this host's calls through a peer while this host cannot reach
 * the store itself, and makes calls for peers.
 */
final class PeerStoreRelay {
    private static final long MARGIN_MS = 300;

    /** Status of a relayed reply when the store did not answer, so that the outcome is unknown. */
    private static final int STATUS_GATEWAY_TIMEOUT = 504;

    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final WatchableStore mStore;
    private final List<String> mSeeds;

    PeerStoreRelay(
            PeerTable peers,
            PeerClient peerClient,
            WatchableStore store,
            List<InetSocketAddress> seeds) {
        mPeers = peers;
        mPeerClient = peerClient;
        mStore = store;
        mSeeds = seeds.stream().map(NodeSettings::formatAddress).toList();
    }

    /**
     * Returns the addresses of the peers that reach the store; those of the seeds while no peer is
     * registered.
     */
    private List<String> relayAddresses() {
        List<String> addresses =
                mPeers.reachingStore().stream().map(PeerTable.Peer::address).toList();
        return addresses.isEmpty() && mPeers.registered().isEmpty() ? mSeeds : addresses;
    }

    /** Makes a call through a random peer that reaches the store; fails when there is none. */
    Future<StoreRelayCall.Reply> callThroughPeer(StoreRelayCall call) {
        List<String> addresses = relayAddresses();
        if (addresses.isEmpty()) {
            return Future.failedFuture(
                    new SesamepinException(Step.PEER_CALL, "-", "no peer can reach the store"));
        }
        String address = addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
        StoreRelay relay =
                new StoreRelay(
                        call.method(), call.uri(), ByteBuffer.wrap(call.body()), call.timeoutMs());
        long timeoutMs = call.timeoutMs() + MARGIN_MS;
        return mPeerClient
                .call(address, PeerRequest.storeRelay(relay), timeoutMs)
                .map(PeerReply::getStoreRelay)
                .map(reply -> new StoreRelayCall.Reply(reply.getStatus(), reply.getBody()));
    }

    /**
     * Makes a call to the store for a peer. A call that the store may have executed without an
     * answer gets a reply with status 504; a failure would tell the peer that it was not executed.
     */
    Future<PeerReply> handleRelay(StoreRelay relay) {
        StoreRelayCall call =
                new StoreRelayCall(
                        relay.getMethod(), relay.getUri(), relay.getBody(), relay.getTimeoutMs());
        return mStore.relay(call)
                .recover(
                        e ->
                                wasNotRun(e)
                                        ? Future.failedFuture(e)
                                        : Future.succeededFuture(
                                                new StoreRelayCall.Reply(
                                                        STATUS_GATEWAY_TIMEOUT, new byte[0])))
                .map(
                        reply -> {
                            StoreRelayReply relayReply = new StoreRelayReply();
                            relayReply.setStatus(reply.status());
                            relayReply.setBody(reply.body());
                            return PeerReply.storeRelay(relayReply);
                        });
    }

    private static boolean wasNotRun(Throwable e) {
        return e instanceof SesamepinException failure && failure.execution() == Execution.NOT_RUN;
    }
}
