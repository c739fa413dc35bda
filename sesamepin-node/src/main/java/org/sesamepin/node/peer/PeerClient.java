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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.FatalErrors;
import org.sesamepin.node.peer.generated.Failure;
import org.sesamepin.node.peer.generated.PeerFrame;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;

/**
 * Calls other nodes, over one multiplexed connection to each. Replies are matched to calls by id. A
 * connection on which calls time out and nothing arrives for a while is closed, since a connection
 * can become permanently unresponsive while new ones work. One slow reply does not close it: a node
 * that is short of processor time may stand still longer than the time-out of a call.
 */
public final class PeerClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Time without a reply to any call after which a connection counts as unresponsive. */
    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Stands for a connection on which no call waits for its first reply. */
    private static final long NOT_SILENT = Long.MIN_VALUE;

    private final Vertx mVertx;
    private final NetClient mClient;
    private final AtomicLong mCallIds = new AtomicLong();
    private final Map<String, Connection> mConnections = new ConcurrentHashMap<>();

    private static final class Connection {
        private final Map<Long, Promise<PeerReply>> mPendingCalls = new ConcurrentHashMap<>();
        private final Future<NetSocket> mSocket;
        private final AtomicLong mSilentSince = new AtomicLong(NOT_SILENT);

        Connection(Future<NetSocket> socket) {
            mSocket = socket;
        }

        /** Records that a call is about to be sent, from which on silence counts. */
        void recordCall() {
            mSilentSince.compareAndSet(NOT_SILENT, System.nanoTime());
        }

        void recordReply() {
            mSilentSince.set(mPendingCalls.isEmpty() ? NOT_SILENT : System.nanoTime());
        }

        boolean isUnresponsive() {
            long silentSince = mSilentSince.get();
            return silentSince != NOT_SILENT
                    && System.nanoTime() - silentSince >= MAX_SILENCE_NANOS;
        }
    }

    /** Creates a client; it connects to a node on the first call. */
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
     * SesamepinException} when no reply arrives within {@code timeoutMs}; its {@link Execution} is
     * then unknown, but not run when the connection could not be established. It fails with a
     * {@link PeerFailureException} when the peer answers with a failure.
     */
    public Future<PeerReply> call(String address, PeerRequest request, long timeoutMs) {
        Connection connection = mConnections.computeIfAbsent(address, this::connect);
        Promise<PeerReply> promise = Promise.promise();
        long id = mCallIds.incrementAndGet();
        connection.recordCall();
        connection.mPendingCalls.put(id, promise);
        long timer =
                mVertx.setTimer(
                        timeoutMs,
                        t -> {
                            connection.mPendingCalls.remove(id);
                            boolean timedOut =
                                    promise.tryFail(
                                            unknownOutcomeError(
                                                    address, "no reply within the call timeout"));
                            if (timedOut && connection.isUnresponsive()) {
                                closeConnection(address, connection);
                            }
                        });
        connection
                .mSocket
                .onSuccess(socket -> send(socket, address, id, request, promise))
                .onFailure(
                        e -> {
                            mConnections.remove(address, connection);
                            connection.mPendingCalls.remove(id);
                            promise.tryFail(
                                    notRunError(address, "cannot connect: " + e.getMessage()));
                        });
        return promise.future()
                .eventually(() -> cancelTimer(timer))
                .compose(r -> failOnFailureReply(address, r));
    }

    private Future<Void> cancelTimer(long timer) {
        mVertx.cancelTimer(timer);
        return Future.succeededFuture();
    }

    private Connection connect(String address) {
        InetSocketAddress socketAddress = PropertyDescriptor.parseAddress(address);
        Future<NetSocket> socket =
                mClient.connect(socketAddress.getPort(), socketAddress.getHostString());
        Connection connection = new Connection(socket);
        socket.onSuccess(s -> setSocketHandlers(address, connection, s));
        return connection;
    }

    private void setSocketHandlers(String address, Connection connection, NetSocket socket) {
        socket.handler(
                FrameCodec.parser(frame -> onReply(connection, frame), () -> socket.close()));
        socket.exceptionHandler(
                e -> {
                    FatalErrors.endProcessIfFatal(e);
                    socket.close();
                });
        socket.closeHandler(v -> closeConnection(address, connection));
    }

    private static void onReply(Connection connection, PeerFrame frame) {
        @Nullable Promise<PeerReply> promise = connection.mPendingCalls.remove(frame.getCallId());
        connection.recordReply();
        if (promise != null && frame.isSetReply()) {
            promise.tryComplete(frame.getReply());
        }
    }

    private void closeConnection(String address, Connection connection) {
        mConnections.remove(address, connection);
        connection.mSocket.onSuccess(NetSocket::close);
        for (Promise<PeerReply> call : connection.mPendingCalls.values()) {
            call.tryFail(
                    unknownOutcomeError(address, "the connection was closed before the reply"));
        }
        connection.mPendingCalls.clear();
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
                    .onFailure(
                            e ->
                                    promise.tryFail(
                                            unknownOutcomeError(
                                                    address, "cannot send the request: " + e)));
        } catch (TException e) {
            promise.tryFail(notRunError(address, "cannot encode the request: " + e));
        }
    }

    private static Future<PeerReply> failOnFailureReply(String address, PeerReply reply) {
        if (reply.isSet(PeerReply._Fields.FAILURE)) {
            Failure failure = reply.getFailure();
            return Future.failedFuture(new PeerFailureException(address, failure.getMessage()));
        }
        return Future.succeededFuture(reply);
    }

    private static SesamepinException notRunError(String address, String message) {
        return new SesamepinException(Step.PEER_CALL, address, message);
    }

    private static SesamepinException unknownOutcomeError(String address, String message) {
        return new SesamepinException(Step.PEER_CALL, address, Execution.UNKNOWN, message, null);
    }

    @Override
    public void close() {
        mClient.close();
    }
}
