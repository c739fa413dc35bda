package org.sesamepin.node.peer;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.JobNotice;
import org.sesamepin.node.peer.generated.LoanReply;
import org.sesamepin.node.peer.generated.LoanRequest;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;

/**
 * Tests when a connection to a peer is closed. One reply that is late must not fail the other calls
 * on the connection; a connection on which nothing arrives any more must be replaced.
 */
class PeerClientTest {
    private static final long SHORT_TIMEOUT_MS = 100;
    private static final long LONG_TIMEOUT_MS = 5_000;
    private static final long SLOW_REPLY_MS = 400;

    private final Vertx mVertx = Vertx.vertx();
    private final PeerClient mClient = new PeerClient(mVertx);

    @AfterEach
    void close() {
        mClient.close();
        mVertx.close();
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private Future<PeerReply> replyLater(PeerReply reply) {
        Promise<PeerReply> promise = Promise.promise();
        mVertx.setTimer(SLOW_REPLY_MS, t -> promise.complete(reply));
        return promise.future();
    }

    @Test
    void lateReplyFailsOnlyItsOwnCall() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        PeerServer server = new PeerServer(mVertx, new InetSocketAddress("127.0.0.1", port));
        server.registerHandler(
                PeerRequest._Fields.LOAN, request -> replyLater(PeerReply.loan(new LoanReply(1))));
        server.registerHandler(
                PeerRequest._Fields.JOB_NOTICE, request -> replyLater(PeerReply.done(new Done())));
        await(server.start());
        String address = "127.0.0.1:" + port;
        PeerRequest loan = PeerRequest.loan(new LoanRequest("customer", 1));
        PeerRequest notice = PeerRequest.jobNotice(new JobNotice("job"));
        Future<PeerReply> impatient = mClient.call(address, loan, SHORT_TIMEOUT_MS);
        Future<PeerReply> patient = mClient.call(address, notice, LONG_TIMEOUT_MS);
        assertThrows(ExecutionException.class, () -> await(impatient));
        assertTrue(await(patient).isSet(PeerReply._Fields.DONE));
        server.close();
    }

    @Test
    void silentConnectionIsReplaced() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        int port =
                await(
                                mVertx.createNetServer()
                                        .connectHandler(
                                                socket -> {
                                                    connections.incrementAndGet();
                                                    socket.handler(request -> {});
                                                })
                                        .listen(0, "127.0.0.1"))
                        .actualPort();
        PeerRequest loan = PeerRequest.loan(new LoanRequest("customer", 1));
        for (int i = 0; i < 20 && connections.get() < 2; i++) {
            Future<PeerReply> call = mClient.call("127.0.0.1:" + port, loan, SHORT_TIMEOUT_MS);
            assertThrows(ExecutionException.class, () -> await(call));
        }
        assertTrue(connections.get() >= 2, "connections: " + connections);
    }
}
