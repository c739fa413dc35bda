package org.sesamepin.node.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Takes the place of the decoder of a connection that is about to be closed, so that nothing that
 * the decoder has read is kept: discards what arrives, and closes the connection when its last
 * response, or its caller, takes too long.
 */
final class InputDiscarder extends ChannelInboundHandlerAdapter {
    /** Longest time until the connection is closed, milliseconds. */
    private static final long CLOSE_MS = 1_000;

    private static final String NAME = "inputDiscarder";

    private final boolean mHasAcceptedCall;
    private @Nullable ScheduledFuture<?> mCloseTimer;

    private InputDiscarder(boolean hasAcceptedCall) {
        mHasAcceptedCall = hasAcceptedCall;
    }

    /**
     * Takes the place of a handler of a pipeline.
     *
     * @param input the decoder, or another instance
     * @param hasAcceptedCall whether a call of the connection runs, whose response takes its time
     */
    static void replace(ChannelPipeline pipeline, ChannelHandler input, boolean hasAcceptedCall) {
        pipeline.replace(input, NAME, new InputDiscarder(hasAcceptedCall));
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
