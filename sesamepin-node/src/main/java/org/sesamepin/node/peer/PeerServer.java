package org.sesamepin.node.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.FatalErrors;
import org.sesamepin.node.peer.generated.Failure;
import org.sesamepin.node.peer.generated.PeerFrame;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.tunnel.TunnelProtocol;
import org.sesamepin.node.tunnel.TunnelServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections of other nodes and dispatches their requests to the registered handlers. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final int CLOSE_TIMEOUT_MS = 1_000;

    private final NetServer mServer;
    private final InetSocketAddress mAddress;
    private final Map<PeerRequest._Fields, PeerHandler> mHandlers =
            new EnumMap<>(PeerRequest._Fields.class);
    private final InvalidFrameLog mInvalidFrameLog = new InvalidFrameLog(Ticker.SYSTEM);
    private @Nullable TunnelServer mTunnels;

    /** Creates a server for {@code address}; {@link #start} starts listening. */
    public PeerServer(Vertx vertx, InetSocketAddress address) {
        mAddress = address;
        NetServerOptions options =
                new NetServerOptions().setTcpNoDelay(true).setIdleTimeout(IDLE_TIMEOUT_SECONDS);
        mServer = vertx.createNetServer(options).connectHandler(this::onConnection);
    }

    /** Registers the handler for one kind of request; to be called before {@link #start}. */
    public void registerHandler(PeerRequest._Fields kind, PeerHandler handler) {
        mHandlers.put(kind, handler);
    }

    /** Starts listening; the future fails when the address cannot be bound. */
    public Future<Void> start() {
        return mServer.listen(mAddress.getPort(), mAddress.getHostString()).mapEmpty();
    }

    /** Lets peers connect to targets through this node; to be called before {@link #start}. */
    public void registerTunnels(TunnelServer tunnels) {
        mTunnels = tunnels;
    }

    private void onConnection(NetSocket socket) {
        Buffer received = Buffer.buffer();
        socket.handler(
                part -> {
                    received.appendBuffer(part);
                    if (received.length() >= TunnelProtocol.MAGIC_BYTES) {
                        onFirstBytes(socket, received);
                    }
                });
        socket.exceptionHandler(
                e -> {
                    FatalErrors.endProcessIfFatal(e);
                    socket.close();
                });
    }

    private void onFirstBytes(NetSocket socket, Buffer received) {
        TunnelServer tunnels = mTunnels;
        if (tunnels != null && TunnelProtocol.isTunnel(received)) {
            tunnels.accept(socket, received);
            return;
        }
        Runnable onInvalidFrame =
                () -> {
                    mInvalidFrameLog.record(socket.remoteAddress());
                    socket.close();
                };
        RecordParser parser =
                FrameCodec.parser(frame -> handleRequest(socket, frame), onInvalidFrame);
        socket.handler(parser);
        parser.handle(received);
    }

    private void handleRequest(NetSocket socket, PeerFrame frame) {
        PeerRequest request = frame.getRequest();
        PeerHandler handler = request == null ? null : mHandlers.get(request.getSetField());
        Future<PeerReply> reply =
                handler == null
                        ? Future.failedFuture(
                                new TException("this node has no handler for the request"))
                        : invokeHandler(handler, frame.getRequest());
        reply.onComplete(
                done -> {
                    PeerReply replyToSend =
                            done.succeeded() ? done.result() : failureReply(done.cause());
                    send(socket, frame.getCallId(), replyToSend);
                });
    }

    private static Future<PeerReply> invokeHandler(PeerHandler handler, PeerRequest request) {
        try {
            return handler.handle(request);
        } catch (RuntimeException e) {
            LOG.error("step=peer-call call={}", request.getSetField(), e);
            return Future.failedFuture(e);
        }
    }

    private static PeerReply failureReply(Throwable e) {
        Step step = e instanceof SesamepinException sesamepin ? sesamepin.step() : Step.PEER_CALL;
        return PeerReply.failure(new Failure(step.label(), String.valueOf(e.getMessage())));
    }

    private static void send(NetSocket socket, long callId, PeerReply reply) {
        PeerFrame frame = new PeerFrame(callId);
        frame.setReply(reply);
        try {
            socket.write(FrameCodec.encode(frame));
        } catch (TException e) {
            LOG.error("step=peer-call message=reply-not-encoded", e);
            socket.close();
        }
    }

    @Override
    public void close() throws Exception {
        mServer.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
