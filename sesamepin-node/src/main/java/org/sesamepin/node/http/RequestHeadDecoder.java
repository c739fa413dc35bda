package org.sesamepin.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Step;

/**
 * Decodes requests and refuses heads that the library lets pass: one that gives a length together
 * with chunked framing, by which requests are smuggled past proxies, and one that arrives too
 * slowly. Either reaches the server's handler for invalid requests, behind the answers to the
 * requests before it; nothing more is read from the connection.
 */
public final class RequestHeadDecoder extends VertxHttpRequestDecoder {
    private static final String HANDLER_NAME = "httpDecoder";

    /** A head that did not arrive in time. */
    private static final class SlowHeadException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final LongSupplier mTimeoutMs;
    private @Nullable ScheduledFuture<?> mTimer;
    private boolean mInBody;
    private boolean mRefused;

    private RequestHeadDecoder(HttpServerOptions options, LongSupplier timeoutMs) {
        super(options);
        mTimeoutMs = timeoutMs;
    }

    /**
     * Decodes the requests of a new connection.
     *
     * @param options options of the server, without an upgrade to HTTP/2, which would decode the
     *     first head before
     * @param timeoutMs longest time for the arrival of a head, milliseconds
     */
    public static void install(
            HttpConnection connection, HttpServerOptions options, LongSupplier timeoutMs) {
        RequestHeadDecoder decoder = new RequestHeadDecoder(options, timeoutMs);
        ((ConnectionBase) connection)
                .channelHandlerContext()
                .pipeline()
                .replace(HANDLER_NAME, HANDLER_NAME, decoder);
    }

    /** Returns the error that answers a request whose head could not be decoded. */
    public static Problem toProblem(HttpServerRequest request) {
        boolean slow = request.decoderResult().cause() instanceof SlowHeadException;
        ProblemType type = slow ? ProblemType.CALLER_TOO_SLOW : ProblemType.MALFORMED_REQUEST;
        String detail = slow ? "the request head is late" : "the request head cannot be read";
        return new Problem(type, Step.READ_REQUEST, detail);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (mRefused) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!mInBody && mTimer == null) {
            mTimer =
                    ctx.executor()
                            .schedule(
                                    () -> refuseSlow(ctx),
                                    mTimeoutMs.getAsLong(),
                                    TimeUnit.MILLISECONDS);
        }
        int before = out.size();
        super.decode(ctx, in, out);
        for (Object message : out.subList(before, out.size())) {
            if (message instanceof HttpMessage) {
                mInBody = true;
                cancelTimer();
            }
            if (message instanceof LastHttpContent) {
                mInBody = false;
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a length together with chunked framing");
    }

    private void refuseSlow(ChannelHandlerContext ctx) {
        mRefused = true;
        DefaultHttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.setDecoderResult(DecoderResult.failure(new SlowHeadException()));
        ctx.fireChannelRead(request);
        ctx.fireChannelReadComplete();
    }

    private void cancelTimer() {
        ScheduledFuture<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
            mTimer = null;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
        cancelTimer();
        super.handlerRemoved0(ctx);
    }
}
