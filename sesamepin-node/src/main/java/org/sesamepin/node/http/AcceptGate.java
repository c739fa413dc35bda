package org.sesamepin.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjIntConsumer;

/**
 * Stops a listener from accepting while its connections are too many, whether they wait for their
 * event loop, are served, or are being closed. They wait in the system's queue then. Tells of each
 * accepted connection at once. The listener accepts in a thread of its own, so that a limit that
 * event loops apply does not bound it. Safe for use by several threads.
 */
final class AcceptGate extends ChannelInboundHandlerAdapter {
    private final int mMaxConnections;
    private final Runnable mOnStopped;
    private final ObjIntConsumer<Channel> mOnAccepted;
    private int mConnections;

    private AcceptGate(int maxConnections, Runnable onStopped, ObjIntConsumer<Channel> onAccepted) {
        mMaxConnections = maxConnections;
        mOnStopped = onStopped;
        mOnAccepted = onAccepted;
    }

    /**
     * Installs a gate on a listener that has none yet.
     *
     * @param maxConnections number of its connections from which it accepts no more, but for those
     *     that it is accepting already
     * @param onStopped runs each time that the listener stops to accept
     * @param onAccepted takes each connection that it accepts from now on, with its options, and
     *     the number of those that are open; runs on the listener's thread
     */
    static synchronized void install(
            Channel listener,
            int maxConnections,
            Runnable onStopped,
            ObjIntConsumer<Channel> onAccepted) {
        if (listener.pipeline().get(AcceptGate.class) == null) {
            listener.pipeline().addFirst(new AcceptGate(maxConnections, onStopped, onAccepted));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof Channel connection)) {
            ctx.fireChannelRead(message);
            return;
        }
        int connections = add(ctx.channel(), 1);
        connection.closeFuture().addListener(f -> onClosed(ctx.channel(), connection));
        // The listener's options are set by this.
        ctx.fireChannelRead(message);
        mOnAccepted.accept(connection, connections);
    }

    /**
     * Counts a connection until its event loop has selected again, which releases its descriptor.
     * The first task may run before that, the second one does not.
     */
    private void onClosed(Channel listener, Channel connection) {
        EventLoop loop = connection.eventLoop();
        runLater(loop, () -> runLater(loop, () -> add(listener, -1)));
    }

    private static void runLater(EventLoop loop, Runnable task) {
        if (loop.isShuttingDown()) {
            task.run();
        } else {
            loop.schedule(task, 0, TimeUnit.NANOSECONDS);
        }
    }

    private synchronized int add(Channel listener, int count) {
        mConnections += count;
        boolean isOpen = mConnections < mMaxConnections;
        if (listener.config().isAutoRead() != isOpen) {
            listener.config().setAutoRead(isOpen);
            if (!isOpen) {
                mOnStopped.run();
            }
        }
        return mConnections;
    }
}
