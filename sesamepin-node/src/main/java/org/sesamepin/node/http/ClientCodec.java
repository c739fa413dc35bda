package org.sesamepin.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.sesamepin.node.FatalErrors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Codec of a client's connection that keeps the bytes of one response apart from those of another.
 * Bytes that no request awaits, before a request or behind a response, end the connection: they may
 * be the begin of a message, and the next response would be read as the rest of it. A response
 * whose head is not one head fails its request with {@link ForeignBytesException}.
 */
public final class ClientCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** The bytes received for a request are not one response. */
    public static final class ForeignBytesException extends Exception {
        private static final long serialVersionUID = 1L;

        ForeignBytesException(String message) {
            super(message);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(ClientCodec.class);
    private static final String HANDLER_NAME = "codec";
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}");

    /** Method of the request whose response is not complete; null when there is none. */
    private @Nullable HttpMethod mAwaited;

    /** Whether the awaited request was sent whole, as far as this host can tell. */
    private boolean mRequestSent;

    private boolean mFailed;

    private volatile boolean mUnusable;
    private volatile String mTarget = "-";
    private volatile String mRequestId = "-";

    private ClientCodec(HttpClientOptions options) {
        init(new Decoder(decoderConfig(options)), new HttpRequestEncoder());
    }

    private static HttpDecoderConfig decoderConfig(HttpClientOptions options) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(options.getMaxInitialLineLength())
                .setMaxHeaderSize(options.getMaxHeaderSize())
                .setMaxChunkSize(options.getMaxChunkSize())
                .setHeadersFactory(new OneLengthHeadersFactory())
                .setInitialBufferSize(options.getDecoderInitialBufferSize());
    }

    /**
     * Installs the codec on a new connection.
     *
     * @param options options of the client, which must not use HTTP/2, nor decompress responses
     */
    public static void install(HttpConnection connection, HttpClientOptions options) {
        ClientCodec codec = new ClientCodec(options);
        ((ConnectionBase) connection)
                .channelHandlerContext()
                .channel()
                .config()
                .setRecvByteBufAllocator(newReadAllocator());
        ((ConnectionBase) connection)
                .channelHandlerContext()
                .pipeline()
                .replace(HANDLER_NAME, HANDLER_NAME, codec);
        connection.exceptionHandler(codec::onFailure);
    }

    /** Returns an allocator with which a sender that never stops does not keep other channels. */
    private static RecvByteBufAllocator newReadAllocator() {
        return new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    private void onFailure(Throwable cause) {
        FatalErrors.endProcessIfFatal(cause);
        log("failed", String.valueOf(cause.getMessage()));
    }

    private void log(String outcome, String cause) {
        LOG.info(
                "step=connection target={} request={} outcome={} cause=\"{}\"",
                mTarget,
                mRequestId,
                outcome,
                cause);
    }

    /**
     * Returns whether a request may be sent on a connection. One that ends may still be in a pool
     * for a moment.
     */
    public static boolean isUsable(HttpConnection connection) {
        ClientCodec codec = codecOf(connection);
        return codec != null && !codec.mUnusable;
    }

    /** Gives up a request of which nothing was sent. */
    public static void discard(HttpClientRequest request) {
        request.exceptionHandler(e -> LOG.debug("step=connection outcome=unused"));
        request.reset();
    }

    /** Records the request that gets a connection; lines about the connection name it. */
    public static void recordUse(HttpConnection connection, String target, String requestId) {
        ClientCodec codec = codecOf(connection);
        if (codec != null) {
            codec.mTarget = target;
            codec.mRequestId = requestId;
        }
    }

    /** Returns the codec of a connection; null when it is closed. */
    private static @Nullable ClientCodec codecOf(HttpConnection connection) {
        ChannelHandlerContext context = ((ConnectionBase) connection).channelHandlerContext();
        boolean isActive = context.channel().isActive();
        return isActive ? context.pipeline().get(ClientCodec.class) : null;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise)
            throws Exception {
        if (msg instanceof HttpRequest request) {
            mAwaited = request.method();
            mRequestSent = false;
        }
        if (!(msg instanceof LastHttpContent)) {
            super.write(ctx, msg, promise);
            return;
        }
        ChannelPromise written = promise.unvoid();
        written.addListener(done -> mRequestSent = done.isSuccess());
        super.write(ctx, msg, written);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        mFailed = true;
        super.exceptionCaught(ctx, cause);
    }

    /**
     * Returns whether the end of the connection may be the end of a response that has no length.
     * The target has not answered the request when it closed the connection before it had all of
     * it, and a reset connection may have lost the rest of the response.
     */
    private boolean isRegularEnd() {
        return mRequestSent && !mFailed;
    }

    private final class Decoder extends HttpResponseDecoder {
        private boolean mInMessage;
        private boolean mInFinalResponse;
        private int mInterimResponses;

        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(mAwaited) || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "both Content-Length and Transfer-Encoding: chunked");
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
                throws Exception {
            if (mUnusable || mAwaited == null) {
                endConnection(ctx, in, "bytes that no request awaits");
                return;
            }
            if (!mInMessage && in.getByte(in.readerIndex()) != 'H') {
                failRequest(ctx, in, out, "bytes before a status line");
                return;
            }
            if (mInterimResponses > MAX_INTERIM_RESPONSES) {
                failRequest(ctx, in, out, "interim responses without end");
                return;
            }
            mInMessage = true;
            int firstNew = out.size();
            super.decode(ctx, in, out);
            List<Object> messages = out.subList(firstNew, out.size());
            for (Object message : messages) {
                String fault = message instanceof HttpResponse head ? faultOf(head) : null;
                if (fault != null) {
                    messages.forEach(ReferenceCountUtil::release);
                    messages.clear();
                    failRequest(ctx, in, out, fault);
                    return;
                }
                onMessage(ctx, in, message);
            }
        }

        private void onMessage(ChannelHandlerContext ctx, ByteBuf in, Object message) {
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                endConnection(ctx, in, String.valueOf(part.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpResponse head) {
                mInFinalResponse = head.status().codeClass() != HttpStatusClass.INFORMATIONAL;
                mInterimResponses = mInFinalResponse ? 0 : mInterimResponses + 1;
            }
            if (message instanceof LastHttpContent) {
                mInMessage = false;
                if (mInFinalResponse) {
                    mInFinalResponse = false;
                    mAwaited = null;
                    if (in.isReadable()) {
                        endConnection(ctx, in, "bytes behind a response");
                    }
                }
            }
        }

        /** Returns why a decoded head is not that of one response; null when it is. */
        private @Nullable String faultOf(HttpResponse head) {
            if (head.decoderResult().isFailure()) {
                return null;
            }
            if (!isOneHead(head)) {
                return "a status line within a head";
            }
            return hasLengthAndChunks(head) ? "both a length and chunks" : null;
        }

        /** The decoder itself refuses this in HTTP/1.1 only. */
        private static boolean hasLengthAndChunks(HttpResponse head) {
            return HttpUtil.isTransferEncodingChunked(head)
                    && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        }

        /** Returns whether a decoded head has no part of another head in it. */
        private boolean isOneHead(HttpResponse head) {
            HttpVersion version = head.protocolVersion();
            boolean isKnownVersion =
                    version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
            if (!isKnownVersion || STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
                return false;
            }
            for (Map.Entry<String, String> header : head.headers()) {
                if (STATUS_LINE.matcher(header.getValue()).find()) {
                    return false;
                }
            }
            return true;
        }

        private void failRequest(
                ChannelHandlerContext ctx, ByteBuf in, List<Object> out, String reason) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
            response.setDecoderResult(DecoderResult.failure(new ForeignBytesException(reason)));
            out.add(response);
            endConnection(ctx, in, reason);
        }

        private void endConnection(ChannelHandlerContext ctx, ByteBuf in, String cause) {
            in.skipBytes(in.readableBytes());
            if (!mUnusable) {
                mUnusable = true;
                log("closed", cause);
                ctx.close();
            }
        }

        @Override
        protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
                throws Exception {
            if (!mUnusable && mInFinalResponse && isRegularEnd()) {
                super.decodeLast(ctx, in, out);
                return;
            }
            in.skipBytes(in.readableBytes());
            if (!mUnusable && mInMessage) {
                log("ended", "within a response");
            }
        }
    }
}
