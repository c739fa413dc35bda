package org.sesamepin.node.tunnel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.peer.PeerServer;

/** Checks the answers of a host that is asked for tunnels, and what it passes on. */
class TunnelServerTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int MAGIC = 0x54554E31;
    private static final String REGISTERED = "t1@1";
    private static final String GONE = "t2@1";

    /** A path that is sound or cut, as the test sets it. */
    private static final class FixedPath implements DirectPath {
        private volatile boolean mIsolated;
        private volatile boolean mSound = true;

        @Override
        public void recordConnected() {}

        @Override
        public void recordFailed(String incarnation) {}

        @Override
        public void recordSilent(String incarnation) {}

        @Override
        public boolean isIsolated() {
            return mIsolated;
        }

        @Override
        public Future<Boolean> isSound() {
            return Future.succeededFuture(mSound);
        }
    }

    private final Vertx mVertx = Vertx.vertx();
    private final FixedPath mPath = new FixedPath();
    private final ServerSocket mTarget;
    private final InetSocketAddress mPeerAddress;
    private final int mClosedPort;

    TunnelServerTest() throws IOException {
        mTarget = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        mTarget.setSoTimeout(TIMEOUT_MS);
        mPeerAddress = new InetSocketAddress("127.0.0.1", freePort());
        mClosedPort = freePort();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @BeforeEach
    void start() throws Exception {
        PeerServer server = new PeerServer(mVertx, mPeerAddress);
        server.registerTunnels(new TunnelServer(mVertx, this::addressOf, mPath));
        server.start()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private @Nullable InetSocketAddress addressOf(String incarnation) {
        return switch (incarnation) {
            case REGISTERED -> new InetSocketAddress("127.0.0.1", mTarget.getLocalPort());
            case GONE -> new InetSocketAddress("127.0.0.1", mClosedPort);
            default -> null;
        };
    }

    @AfterEach
    void stop() throws Exception {
        mTarget.close();
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private Socket ask(String incarnation) throws IOException {
        Socket socket = new Socket(mPeerAddress.getAddress(), mPeerAddress.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(MAGIC);
        out.writeUTF(incarnation);
        out.flush();
        return socket;
    }

    private void assertAnswer(char answer, String incarnation) throws IOException {
        try (Socket socket = ask(incarnation)) {
            assertEquals(answer, socket.getInputStream().read());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void onlyRegisteredTargetsAreReachable() throws Exception {
        assertAnswer('U', "127.0.0.1:" + mTarget.getLocalPort());
        assertAnswer('U', "t1@2");
        assertAnswer('U', "");
    }

    @Test
    void targetThatRefusesIsRefused() throws Exception {
        assertAnswer('R', GONE);
    }

    @Test
    void hostThatReachesNoTargetBlamesNone() throws Exception {
        mPath.mSound = false;

        assertAnswer('I', GONE);
    }

    @Test
    void hostThatIsCutOffConnectsNobody() throws Exception {
        mPath.mIsolated = true;

        assertAnswer('I', REGISTERED);
    }

    @Test
    void bytesAndTheEndArePassedOn() throws Exception {
        try (Socket socket = ask(REGISTERED);
                Socket target = mTarget.accept()) {
            assertEquals('C', socket.getInputStream().read());
            socket.getOutputStream().write('x');
            assertEquals('x', target.getInputStream().read());
            target.getOutputStream().write('y');
            target.close();
            assertEquals('y', socket.getInputStream().read());
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void closeOfTheCallerReachesTheTarget() throws Exception {
        try (Socket socket = ask(REGISTERED);
                Socket target = mTarget.accept()) {
            target.setSoTimeout(TIMEOUT_MS);
            assertEquals('C', socket.getInputStream().read());
            socket.close();
            assertEquals(-1, target.getInputStream().read());
        }
    }

    @Test
    void resetOfTheTargetIsNoEnd() throws Exception {
        try (Socket socket = ask(REGISTERED);
                Socket target = mTarget.accept()) {
            assertEquals('C', socket.getInputStream().read());
            target.setSoLinger(true, 0);
            target.close();
            assertThrows(SocketException.class, () -> socket.getInputStream().read());
        }
    }
}
