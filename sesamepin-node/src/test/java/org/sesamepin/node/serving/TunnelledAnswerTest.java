package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.tunnel.DirectPath;
import org.sesamepin.node.tunnel.TunnelServer;

/** Checks what counts as a whole response when it comes through a peer, which may be killed. */
class TunnelledAnswerTest {
    private static final int TIMEOUT_S = 10;

    /** The path of a peer that reaches all targets. */
    private static final class SoundPath implements DirectPath {
        @Override
        public void recordConnected() {}

        @Override
        public void recordFailed(String incarnation) {}

        @Override
        public void recordSilent(String incarnation) {}

        @Override
        public boolean isIsolated() {
            return false;
        }

        @Override
        public Future<Boolean> isSound() {
            return Future.succeededFuture(true);
        }
    }

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mVertx.runOnContext(v -> task.get().onComplete(promise));
        return promise.future()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Starts a peer that reaches a target of which this host has an address that is refused. */
    private TargetInstance startBehindPeer(RawTarget target) throws Exception {
        InetSocketAddress address = FreePorts.address();
        PeerServer peer = new PeerServer(mVertx, address);
        InetSocketAddress reachable = target.instance().address();
        peer.registerTunnels(new TunnelServer(mVertx, id -> reachable, new SoundPath()));
        runOnEventLoop(peer::start);
        mFixture.peers().register(new PeerTable.Peer("p", NodeSettings.formatAddress(address), 1));
        mFixture.peers().recordContact("p", true);
        return new TargetInstance(
                target.instance().id(),
                target.instance().startedAtMs(),
                "s",
                "v1",
                FreePorts.address(),
                "a",
                8,
                target.instance().state(),
                0);
    }

    /** The end of a killed peer looks like the end of a response that only its connection ends. */
    @ParameterizedTest
    @CsvSource({"Content-Length: 4,answered 200 body", "Other: 1,broken"})
    void responseThatOnlyItsConnectionEndsIsNotWhole(String header, String end) throws Exception {
        RawTarget target =
                new RawTarget(
                        mVertx,
                        "t",
                        (socket, head, number) ->
                                socket.end(
                                        Buffer.buffer(
                                                "HTTP/1.1 200 x\r\nId: r\r\nSigned: 1\r\n"
                                                        + header
                                                        + "\r\n\r\nbody")));
        TargetInstance seen = startBehindPeer(target);
        AttemptRecorder recorder = new AttemptRecorder();
        runOnEventLoop(
                () -> {
                    mFixture.state().setTargets(List.of(seen));
                    TargetAttempt.Plan plan =
                            new TargetAttempt.Plan(
                                    AttemptRecorder.headOf("r"),
                                    Buffer.buffer(),
                                    null,
                                    5_000,
                                    null,
                                    false,
                                    false,
                                    0);
                    new TargetAttempt(mFixture.context(), seen, plan, recorder).start();
                    return Future.succeededFuture();
                });
        assertEquals(end, recorder.end().get(TIMEOUT_S, TimeUnit.SECONDS));
    }
}
