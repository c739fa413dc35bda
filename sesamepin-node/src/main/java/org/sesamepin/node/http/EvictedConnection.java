package org.sesamepin.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Takes the place of the decoder of an evicted connection, so that nothing that the decoder has
 * read is kept: discards what arrives. The connection is closed once its last response is sent, or
 * when that takes too long.
 */
final class EvictedConnection extends ChannelInboundHandlerAdapter {
    /** Longest time that the response to an evicted request may take to be sent, milliseconds. */
    private static final long CLOSE_MS = 1_000;

    private final boolean mHasAcceptedCall;
    private @Nullable ScheduledFuture<?> mCloseTimer;

    /**
     * Creates a handler.
     *
     * @param hasAcceptedCall whether a call of the connection runs, whose response takes its time
     */
    EvictedConnection(boolean hasAcceptedCall) {
        mHasAcceptedCall = hasAcceptedCall;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        if (!mHasAcceptedCall) {
            mCloseTimer =
                    ctx.executor().schedule(() -> ctx.close(), CLOSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ReferenceCountUtil.release(message);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        ScheduledFuture<?> timer = mCloseTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
