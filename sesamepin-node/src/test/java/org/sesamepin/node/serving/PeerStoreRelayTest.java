package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.spi.StoreRelayCall;

/** Checks what a host learns about a store call that a peer makes for it. */
class PeerStoreRelayTest {
    private static final StoreRelayCall WRITE =
            new StoreRelayCall("POST", "/write", new byte[] {'{', '}'}, 1_000);

    private final Vertx mVertx = Vertx.vertx();
    private final ScriptedStore mStoreOfPeer = new ScriptedStore();
    private PeerClient mClient;
    private PeerServer mServer;
    private PeerStoreRelay mRelay;

    @BeforeEach
    void start() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        mClient = new PeerClient(mVertx);
        PeerTable peers = new PeerTable(Ticker.SYSTEM, "self", 1);
        PeerStoreRelay peer = new PeerStoreRelay(peers, mClient, mStoreOfPeer, List.of());
        mServer = new PeerServer(mVertx, address);
        mServer.registerHandler(
                PeerRequest._Fields.STORE_RELAY,
                request -> peer.handleRelay(request.getStoreRelay()));
        mServer.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        mRelay = new PeerStoreRelay(peers, mClient, new ScriptedStore(), List.of(address));
    }

    @AfterEach
    void close() throws Exception {
        mServer.close();
        mClient.close();
        mVertx.close();
    }

    private StoreRelayCall.Reply callThroughPeer() throws Exception {
        return mRelay.callThroughPeer(WRITE)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    /**
     * A write that the store may have carried out for the peer must not look like one that was not:
     * a job would be refused as "not run" and run nevertheless.
     */
    @Test
    void unknownOutcomeOfARelayedWriteStaysUnknown() throws Exception {
        mStoreOfPeer.failRelaysWith(Execution.UNKNOWN);
        assertEquals(504, callThroughPeer().status());
    }

    @Test
    void relayedWriteThatWasNotCarriedOutIsReportedSo() {
        mStoreOfPeer.failRelaysWith(Execution.NOT_RUN);
        ExecutionException failure = assertThrows(ExecutionException.class, this::callThroughPeer);
        SesamepinException cause = assertInstanceOf(SesamepinException.class, failure.getCause());
        assertEquals(Execution.NOT_RUN, cause.execution());
    }
}
