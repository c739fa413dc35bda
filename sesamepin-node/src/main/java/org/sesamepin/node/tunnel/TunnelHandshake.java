package org.sesamepin.node.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.AttributeKey;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Asks the peer at the other end of a new connection to connect it to a target. Nothing else may be
 * written before the answer has arrived.
 */
final class TunnelHandshake extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Boolean> TUNNEL =
            AttributeKey.valueOf(TunnelHandshake.class, "tunnel");
    private static final String CODEC_NAME = "codec";

    private final String mIncarnation;
    private final Promise<TunnelAnswer> mAnswer = Promise.promise();

    private TunnelHandshake(String incarnation) {
        mIncarnation = incarnation;
    }

    /** Returns whether a connection leads through a peer. */
    static boolean isTunnel(HttpConnection connection) {
        return Boolean.TRUE.equals(channelContext(connection).channel().attr(TUNNEL).get());
    }

    private static ChannelHandlerContext channelContext(HttpConnection connection) {
        return ((ConnectionBase) connection).channelHandlerContext();
    }

    /**
     * Performs the handshake on a connection, unless that was done before.
     *
     * @param incarnation incarnation of the target
     * @return the peer's answer; fails when the connection ends without one
     */
    static Future<TunnelAnswer> perform(HttpConnection connection, String incarnation) {
        if (isTunnel(connection)) {
            return Future.succeededFuture(TunnelAnswer.CONNECTED);
        }
        TunnelHandshake handshake = new TunnelHandshake(incarnation);
        ChannelPipeline pipeline = channelContext(connection).pipeline();
        if (!pipeline.channel().isActive() || pipeline.get(CODEC_NAME) == null) {
            return Future.failedFuture(new IOException("the peer closed the connection"));
        }
        pipeline.channel().attr(TUNNEL).set(true);
        pipeline.addBefore(CODEC_NAME, null, handshake);
        return handshake.mAnswer.future();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        byte[] request = TunnelProtocol.encode(mIncarnation).getBytes();
        ctx.writeAndFlush(ctx.alloc().buffer(request.length).writeBytes(request));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf received = (ByteBuf) msg;
        if (!received.isReadable()) {
            received.release();
            return;
        }
        TunnelAnswer answer = TunnelAnswer.of(received.readByte());
        ctx.pipeline().remove(this);
        if (received.isReadable()) {
            ctx.fireChannelRead(received);
        } else {
            received.release();
        }
        complete(answer);
    }

    private void complete(@Nullable TunnelAnswer answer) {
        if (answer == null) {
            mAnswer.tryFail(new IOException("the peer sent no valid answer"));
        } else {
            mAnswer.tryComplete(answer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mAnswer.tryFail(new IOException("the peer closed the connection"));
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        mAnswer.tryFail(cause);
        ctx.fireExceptionCaught(cause);
    }
}
