package org.sesamepin.node.peer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.peer.generated.Failure;
import org.sesamepin.node.peer.generated.PeerFrame;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;

/**
 * Calls other nodes over one multiplexed connection each. A call that gets no answer in time closes
 * its connection, since a connection can go silent for good while new ones work; answers are
 * matched to calls by id.
 */
public final class PeerClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 400;

    private final Vertx mVertx;
    private final NetClient mClient;
    private final AtomicLong mCallIds = new AtomicLong();
    private final Map<String, Connection> mConnections = new ConcurrentHashMap<>();

    private static final class Connection {
        private final Map<Long, Promise<PeerReply>> mCalls = new ConcurrentHashMap<>();
        private final Future<NetSocket> mSocket;
        private final AtomicLong mAnswers = new AtomicLong();

        Connection(Future<NetSocket> socket) {
            mSocket = socket;
        }
    }

    /** Creates a client without connections. */
    public PeerClient(Vertx vertx) {
        mVertx = vertx;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /**
     * Calls the node at {@code address}, an IP number with port. The future fails with a {@link
     * SesamepinException} when there is no answer within {@code timeoutMs}; whether the call took
     * effect is then unknown, unless the connection could not be made.
     */
    public Future<PeerReply> call(String address, PeerRequest request, long timeoutMs) {
        Connection connection = mConnections.computeIfAbsent(address, this::connect);
        Promise<PeerReply> promise = Promise.promise();
        long id = mCallIds.incrementAndGet();
        connection.mCalls.put(id, promise);
        long answersBefore = connection.mAnswers.get();
        long timer =
                mVertx.setTimer(
                        timeoutMs,
                        t -> {
                            connection.mCalls.remove(id);
                            if (promise.tryFail(unknown(address, "no answer in time"))
                                    && connection.mAnswers.get() == answersBefore) {
                                drop(address, connection);
                            }
                        });
        connection
                .mSocket
                .onSuccess(socket -> send(socket, address, id, request, promise))
                .onFailure(
                        e -> {
                            mConnections.remove(address, connection);
                            connection.mCalls.remove(id);
                            promise.tryFail(notRun(address, "cannot connect: " + e.getMessage()));
                        });
        return promise.future().eventually(() -> cancel(timer)).compose(r -> check(address, r));
    }

    private Future<Void> cancel(long timer) {
        mVertx.cancelTimer(timer);
        return Future.succeededFuture();
    }

    private Connection connect(String address) {
        InetSocketAddress at = PropertyDescriptor.parseAddress(address);
        Future<NetSocket> socket = mClient.connect(at.getPort(), at.getHostString());
        Connection connection = new Connection(socket);
        socket.onSuccess(s -> attach(address, connection, s));
        return connection;
    }

    private void attach(String address, Connection connection, NetSocket socket) {
        socket.handler(
                FrameCodec.parser(frame -> answered(connection, frame), () -> socket.close()));
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> drop(address, connection));
    }

    private static void answered(Connection connection, PeerFrame frame) {
        connection.mAnswers.incrementAndGet();
        @Nullable Promise<PeerReply> promise = connection.mCalls.remove(frame.getCallId());
        if (promise != null && frame.isSetReply()) {
            promise.tryComplete(frame.getReply());
        }
    }

    private void drop(String address, Connection connection) {
        mConnections.remove(address, connection);
        connection.mSocket.onSuccess(NetSocket::close);
        for (Promise<PeerReply> call : connection.mCalls.values()) {
            call.tryFail(unknown(address, "connection closed"));
        }
        connection.mCalls.clear();
    }

    private static void send(
            NetSocket socket,
            String address,
            long id,
            PeerRequest request,
            Promise<PeerReply> promise) {
        PeerFrame frame = new PeerFrame(id);
        frame.setRequest(request);
        try {
            socket.write(FrameCodec.encode(frame))
                    .onFailure(e -> promise.tryFail(unknown(address, "cannot send: " + e)));
        } catch (TException e) {
            promise.tryFail(notRun(address, "cannot encode: " + e));
        }
    }

    private static Future<PeerReply> check(String address, PeerReply reply) {
        if (reply.isSet(PeerReply._Fields.FAILURE)) {
            Failure failure = reply.getFailure();
            return Future.failedFuture(notRun(address, failure.getMessage()));
        }
        return Future.succeededFuture(reply);
    }

    private static SesamepinException notRun(String address, String message) {
        return new SesamepinException(Step.PEER_CALL, address, message);
    }

    private static SesamepinException unknown(String address, String message) {
        return new SesamepinException(Step.PEER_CALL, address, Execution.UNKNOWN, message, null);
    }

    @Override
    public void close() {
        mClient.close();
    }
}
