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
import org.sesamepin.node.FatalErrors;

/**
 * Decodes requests and rejects two kinds of request heads that the library accepts: a head with
 * both a content length and chunked transfer encoding, which is used for request smuggling past
 * proxies, and a head that arrives too slowly. Either is passed to the server's handler for invalid
 * requests, whose response follows the responses to all earlier requests of the connection. Nothing
 * more is read from the connection afterwards.
 */
public final class RequestHeadDecoder extends VertxHttpRequestDecoder {
    private static final String HANDLER_NAME = "httpDecoder";

    /** Bytes of line ends between two requests that do not count as the start of a head. */
    private static final int MAX_STRAY_BYTES = 4;

    /** Marks a request whose head did not arrive within the timeout. */
    private static final class SlowHeadException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final LongSupplier mTimeoutMs;
    private @Nullable ScheduledFuture<?> mTimer;
    private int mSkippedBytes;
    private boolean mInBody;
    private boolean mRejected;

    private RequestHeadDecoder(HttpServerOptions options, LongSupplier timeoutMs) {
        super(options);
        mTimeoutMs = timeoutMs;
    }

    /**
     * Installs the decoder on a new connection.
     *
     * @param options options of the server; an upgrade to HTTP/2 must be disabled, since its
     *     handler would decode the first head before this decoder does
     * @param timeoutMs longest time from the first byte of a head to its end, milliseconds
     */
    public static void install(
            HttpConnection connection, HttpServerOptions options, LongSupplier timeoutMs) {
        RequestHeadDecoder decoder = new RequestHeadDecoder(options, timeoutMs);
        ((ConnectionBase) connection)
                .channelHandlerContext()
                .pipeline()
                .replace(HANDLER_NAME, HANDLER_NAME, decoder);
        connection.exceptionHandler(FatalErrors::endProcessIfFatal);
    }

    /** Returns the error to send in response to a request whose head could not be decoded. */
    public static Problem toProblem(HttpServerRequest request) {
        boolean isSlow = request.decoderResult().cause() instanceof SlowHeadException;
        ProblemType type = isSlow ? ProblemType.CALLER_TOO_SLOW : ProblemType.MALFORMED_REQUEST;
        String detail =
                isSlow
                        ? "the request head did not arrive in time"
                        : "the request head cannot be decoded";
        return new Problem(type, Step.READ_REQUEST, detail);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (mRejected) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!mInBody && mTimer == null) {
            skipStrayLineEnds(in);
            if (!in.isReadable()) {
                return;
            }
            mTimer =
                    ctx.executor()
                            .schedule(
                                    () -> rejectSlowHead(ctx),
                                    mTimeoutMs.getAsLong(),
                                    TimeUnit.MILLISECONDS);
        }
        int firstNew = out.size();
        super.decode(ctx, in, out);
        for (Object message : out.subList(firstNew, out.size())) {
            if (message instanceof HttpMessage) {
                mInBody = true;
                mSkippedBytes = 0;
                cancelTimer();
            }
            if (message instanceof LastHttpContent) {
                mInBody = false;
            }
        }
    }

    /** Skips the line ends that some callers send behind a body; they begin no head. */
    private void skipStrayLineEnds(ByteBuf in) {
        while (in.isReadable() && mSkippedBytes < MAX_STRAY_BYTES) {
            byte next = in.getByte(in.readerIndex());
            if (next != '\r' && next != '\n') {
                return;
            }
            in.skipBytes(1);
            mSkippedBytes++;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }

    private void rejectSlowHead(ChannelHandlerContext ctx) {
        mRejected = true;
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
