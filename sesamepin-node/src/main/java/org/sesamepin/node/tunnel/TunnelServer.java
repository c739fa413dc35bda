package org.sesamepin.node.tunnel;

import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sesamepin.node.FatalErrors;

/**
 * Passes bytes between peers that are cut off from the targets and the targets registered here.
 * Connects directly only, so that no tunnel leads through two hosts. Confined to the event loop.
 */
public final class TunnelServer implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final long LATE_CONNECT_MS = 100;
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final int MAX_TUNNELS = 1_024;

    private final Vertx mVertx;
    private final TunnelLog mLog;
    private final NetClient mClient;
    private final Function<String, @Nullable InetSocketAddress> mAddressOf;
    private final DirectPath mPath;
    private int mOpenTunnels;
    private long mAcceptedTunnels;

    /**
     * Creates a server without tunnels.
     *
     * @param addressOf returns the address of the registered target of an incarnation; null when
     *     there is none
     * @param path learns what the connections show of this host's path to the targets
     */
    public TunnelServer(
            Vertx vertx, Function<String, @Nullable InetSocketAddress> addressOf, DirectPath path) {
        mVertx = vertx;
        mLog = new TunnelLog(vertx, "peer");
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                                .setTcpNoDelay(true));
        mAddressOf = addressOf;
        mPath = path;
    }

    /** Returns the number of open tunnels. */
    public int openTunnels() {
        return mOpenTunnels;
    }

    /** Returns the number of tunnels that were connected to a target. */
    public long acceptedTunnels() {
        return mAcceptedTunnels;
    }

    /**
     * Takes over a connection of a peer.
     *
     * @param received what was received so far
     */
    public void accept(NetSocket socket, Buffer received) {
        String incarnation = TunnelProtocol.decode(received);
        if (incarnation != null) {
            open(socket, incarnation);
            return;
        }
        if (TunnelProtocol.isTooLong(received)) {
            socket.close();
            return;
        }
        socket.handler(part -> accept(socket, received.appendBuffer(part)));
    }

    private void open(NetSocket socket, String incarnation) {
        InetSocketAddress address = mAddressOf.apply(incarnation);
        if (address == null) {
            refuse(socket, incarnation, TunnelAnswer.UNKNOWN_TARGET);
            return;
        }
        if (mPath.isIsolated()) {
            refuse(socket, incarnation, TunnelAnswer.ISOLATED);
            return;
        }
        if (mOpenTunnels >= MAX_TUNNELS) {
            refuse(socket, incarnation, TunnelAnswer.BUSY);
            return;
        }
        mOpenTunnels++;
        socket.handler(null);
        socket.pause();
        boolean[] left = new boolean[1];
        socket.closeHandler(v -> left[0] = true);
        long lateTimer = mVertx.setTimer(LATE_CONNECT_MS, t -> mPath.recordSilent(incarnation));
        mClient.connect(address.getPort(), address.getHostString())
                .onSuccess(
                        target -> {
                            mVertx.cancelTimer(lateTimer);
                            mPath.recordConnected();
                            if (left[0]) {
                                mOpenTunnels--;
                                target.close();
                                return;
                            }
                            connect(socket, target);
                        })
                .onFailure(
                        e -> {
                            mOpenTunnels--;
                            if (mVertx.cancelTimer(lateTimer)) {
                                mPath.recordFailed(incarnation);
                            }
                            refuseUnreachable(socket, incarnation);
                        });
    }

    /** Blames the target only if this host reaches others. */
    private void refuseUnreachable(NetSocket socket, String incarnation) {
        mPath.isSound()
                .onSuccess(
                        sound ->
                                refuse(
                                        socket,
                                        incarnation,
                                        sound ? TunnelAnswer.REFUSED : TunnelAnswer.ISOLATED));
    }

    private void refuse(NetSocket socket, String incarnation, TunnelAnswer answer) {
        mLog.recordFailure(
                "-", String.valueOf(socket.remoteAddress()), incarnation, answer.label());
        socket.end(Buffer.buffer(new byte[] {answer.code()}));
    }

    private void connect(NetSocket socket, NetSocket target) {
        mAcceptedTunnels++;
        boolean[] closed = new boolean[1];
        Runnable onClosed =
                () -> {
                    if (!closed[0]) {
                        closed[0] = true;
                        mOpenTunnels--;
                    }
                };
        pass(socket, target, onClosed);
        pass(target, socket, onClosed);
        socket.write(Buffer.buffer(new byte[] {TunnelAnswer.CONNECTED.code()}));
        socket.resume();
    }

    /** Passes on what {@code from} sends, its end and its reset. */
    private static void pass(NetSocket from, NetSocket to, Runnable onClosed) {
        from.handler(
                bytes -> {
                    to.write(bytes);
                    if (to.writeQueueFull()) {
                        from.pause();
                        to.drainHandler(v -> from.resume());
                    }
                });
        from.exceptionHandler(
                e -> {
                    FatalErrors.endProcessIfFatal(e);
                    reset(to);
                    from.close();
                });
        from.endHandler(v -> to.end());
        from.closeHandler(v -> onClosed.run());
    }

    private static void reset(NetSocket socket) {
        ((NetSocketInternal) socket)
                .channelHandlerContext()
                .channel()
                .config()
                .setOption(ChannelOption.SO_LINGER, 0);
        socket.close();
    }

    @Override
    public void close() {
        mClient.close();
    }
}
