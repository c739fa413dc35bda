package org.sesamepin.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.limit.RequestMemory;

/**
 * Copies small chunks of a request's body together, and records when responses are sent. Each chunk
 * that is passed on costs some hundred bytes besides its own while the request is paused.
 *
 * <p>When a connection is closed after the response to a request of which more is due, its output
 * ends at once, and its input is discarded until the caller closes it, for a second at most. If it
 * was closed at once, the caller would meet a reset while it sends, and lose the response.
 */
final class RequestPipeline extends ChannelDuplexHandler {
    private static final int SMALL_CHUNK_BYTES = 1_024;
    private static final int MAX_MERGED_BYTES = 16 << 10;

    /** Unsent bytes of a connection from which they count; most responses are sent at once. */
    private static final int MIN_UNSENT_BYTES = 16 << 10;

    private final RequestMemory.Connection mMemory;
    private final CallerMemory mCallers;
    private final ResponseMemory.Holder mUnsent;
    private @Nullable ByteBuf mMerged;
    private boolean mHasResponded;
    private boolean mLingers;

    RequestPipeline(
            ChannelHandlerContext connectionCtx,
            RequestMemory.Connection memory,
            CallerMemory callers) {
        mMemory = memory;
        mCallers = callers;
        mUnsent = callers.newUnsent(() -> closeAtOnce(connectionCtx.pipeline()));
    }

    /** Closes a connection although responses are not sent; the server would send them first. */
    private void closeAtOnce(ChannelPipeline pipeline) {
        ChannelHandlerContext ctx = pipeline.context(this);
        if (ctx != null) {
            ctx.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpMessage) {
            mHasResponded = false;
        }
        if (!(message instanceof HttpContent content) || !isSmallPart(content)) {
            flushMerged(ctx);
            ctx.fireChannelRead(message);
            return;
        }
        ByteBuf merged = mMerged;
        if (merged == null) {
            merged = Unpooled.buffer();
            mMerged = merged;
        }
        merged.writeBytes(content.content());
        ReferenceCountUtil.release(content);
        if (merged.readableBytes() >= MAX_MERGED_BYTES) {
            flushMerged(ctx);
        }
    }

    private static boolean isSmallPart(HttpContent content) {
        return !(content instanceof LastHttpContent)
                && !(content instanceof HttpMessage)
                && content.decoderResult().isSuccess()
                && content.content().readableBytes() < SMALL_CHUNK_BYTES;
    }

    private void flushMerged(ChannelHandlerContext ctx) {
        ByteBuf merged = mMerged;
        if (merged != null) {
            mMerged = null;
            ctx.fireChannelRead(new DefaultHttpContent(merged));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        flushMerged(ctx);
        ctx.fireChannelReadComplete();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        boolean isLast = message instanceof LastHttpContent && !isInterim(message);
        ChannelFuture written = ctx.write(message, promise.unvoid());
        // A caller that does not read leaves its responses in the process.
        if (unsentBytes(ctx) > 0) {
            recordUnsent(ctx);
            written.addListener(f -> recordUnsent(ctx));
        }
        if (isLast) {
            written.addListener(f -> onResponseSent(ctx));
        }
    }

    private void recordUnsent(ChannelHandlerContext ctx) {
        mUnsent.resize(unsentBytes(ctx));
    }

    /** Returns the size of what waits to be sent; 0 when that is little. */
    private static long unsentBytes(ChannelHandlerContext ctx) {
        ChannelOutboundBuffer buffer = ctx.channel().unsafe().outboundBuffer();
        long bytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        return bytes < MIN_UNSENT_BYTES ? 0 : bytes;
    }

    /**
     * Lets the next request be decoded, not within the call stack of the one before it; closes a
     * connection that was evicted.
     */
    private void onResponseSent(ChannelHandlerContext ctx) {
        mMemory.endResponse();
        mHasResponded = true;
        RequestHeadDecoder decoder = ctx.pipeline().get(RequestHeadDecoder.class);
        if (ctx.pipeline().get(InputDiscarder.class) != null) {
            close(ctx, ctx.newPromise());
        } else if (decoder != null && decoder.isWaiting()) {
            decoder.decodeLater(() -> decodeNext(ctx, decoder));
        }
    }

    private static void decodeNext(ChannelHandlerContext ctx, RequestHeadDecoder decoder) {
        try {
            decoder.decodeNext();
        } catch (Exception e) {
            ctx.fireExceptionCaught(e);
        }
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        if (!mLingers && !beginLinger(ctx)) {
            ctx.close(promise);
            return;
        }
        ctx.channel().closeFuture().addListener(f -> promise.trySuccess());
    }

    /** Ends the output and discards the input if more is due; returns whether it does so. */
    private boolean beginLinger(ChannelHandlerContext ctx) {
        RequestHeadDecoder decoder = ctx.pipeline().get(RequestHeadDecoder.class);
        ChannelHandler input = decoder != null ? decoder : ctx.pipeline().get(InputDiscarder.class);
        boolean isReceiving = decoder == null || decoder.isReceiving();
        if (!mHasResponded || input == null || !isReceiving || !ctx.channel().isActive()) {
            return false;
        }
        if (!(ctx.channel() instanceof SocketChannel socket) || !mCallers.linger(socket)) {
            return false;
        }
        mLingers = true;
        InputDiscarder.replace(ctx.pipeline(), input, false);
        socket.shutdownOutput();
        socket.config().setAutoRead(true);
        return true;
    }

    private static boolean isInterim(Object message) {
        return message instanceof FullHttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        ReferenceCountUtil.release(mMerged);
        mMerged = null;
        mUnsent.release();
        mMemory.close();
    }
}
