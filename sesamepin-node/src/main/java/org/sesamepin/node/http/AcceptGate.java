package org.sesamepin.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Stops a listener from accepting while its connections are too many, whether they wait for their
 * event loop, are served, or are being closed. They wait in the system's queue then. The listener
 * accepts in a thread of its own, so that a limit that event loops apply does not bound it. Safe
 * for use by several threads.
 */
final class AcceptGate extends ChannelInboundHandlerAdapter {
    private final int mMaxConnections;
    private final Runnable mOnStopped;
    private int mConnections;

    private AcceptGate(int maxConnections, Runnable onStopped) {
        mMaxConnections = maxConnections;
        mOnStopped = onStopped;
    }

    /**
     * Installs a gate on a listener that has none yet.
     *
     * @param maxConnections number of its connections from which it accepts no more, but for those
     *     that it is accepting already
     * @param onStopped runs each time that the listener stops to accept
     */
    static synchronized void install(Channel listener, int maxConnections, Runnable onStopped) {
        if (listener.pipeline().get(AcceptGate.class) == null) {
            listener.pipeline().addFirst(new AcceptGate(maxConnections, onStopped));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof Channel connection) {
            add(ctx.channel(), 1);
            connection.closeFuture().addListener(f -> onClosed(ctx.channel(), connection));
        }
        ctx.fireChannelRead(message);
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

    private synchronized void add(Channel listener, int count) {
        mConnections += count;
        boolean isOpen = mConnections < mMaxConnections;
        if (listener.config().isAutoRead() != isOpen) {
            listener.config().setAutoRead(isOpen);
            if (!isOpen) {
                mOnStopped.run();
            }
        }
    }
}
