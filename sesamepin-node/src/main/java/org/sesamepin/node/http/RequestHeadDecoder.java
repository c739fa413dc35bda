package org.sesamepin.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
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
import org.sesamepin.core.limit.RequestMemory;
import org.sesamepin.node.FatalErrors;

/**
 * Decodes requests, counts the memory that they take, and rejects three kinds of request heads that
 * the library accepts: a head with both a content length and chunked transfer encoding, which is
 * used for request smuggling past proxies, a head that arrives too slowly, and a head for which
 * there is no memory. Each is passed to the server's handler for invalid requests, whose response
 * follows the responses to all earlier requests of the connection. Nothing more is read from the
 * connection afterwards.
 */
public final class RequestHeadDecoder extends VertxHttpRequestDecoder {
    private static final String HANDLER_NAME = "httpDecoder";
    private static final String PIPELINE_NAME = "requestPipeline";
    private static final String ENCODER_NAME = "httpEncoder";
    private static final long NOT_STREAMED = -1;

    /** Memory of a request besides its head's lines and its body, bytes. */
    private static final long REQUEST_BYTES = 4_096;

    /**
     * Memory of a header line besides its text, bytes: two strings of two kinds and an entry when
     * it is decoded, an entry when it is filtered, and one in the request to a target.
     */
    private static final long HEADER_LINE_BYTES = 384;

    /** Least change of a body's memory that is recorded, bytes. */
    private static final long MIN_CHANGE_BYTES = 1_024;

    /**
     * Bytes of waiting requests from which no more are read. Below it the end of the connection is
     * still noticed.
     */
    private static final int MAX_WAITING_BYTES = 16 << 10;

    /** Bytes of line ends between two requests that do not count as the start of a head. */
    private static final int MAX_STRAY_BYTES = 4;

    /** Marks a request whose head did not arrive within the timeout. */
    private static final class SlowHeadException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    /** Marks a request for whose head there is no memory. */
    private static final class EvictedException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final ChannelHandlerContext mConnectionCtx;
    private final LongSupplier mTimeoutMs;
    private final RequestMemory.Connection mMemory;
    private final ReadPace mPace;
    private @Nullable ScheduledFuture<?> mTimer;
    private @Nullable Runnable mOnBodyEvicted;
    private @Nullable HttpMessage mMessage;
    private boolean mEvicted;
    private long mHeadBytes;
    private long mBodyBytes;
    private long mTrailerBytes;
    private long mStreamedBytes = NOT_STREAMED;
    private long mPassedBytes;
    private long mRecordedBytes;
    private long mReceivedBytes;
    private int mSkippedBytes;
    private boolean mInBody;
    private boolean mRejected;
    private boolean mIsWaiting;
    private boolean mHasEnough;

    private RequestHeadDecoder(
            ChannelHandlerContext connectionCtx,
            HttpServerOptions options,
            LongSupplier timeoutMs,
            CallerMemory memory) {
        super(options);
        mConnectionCtx = connectionCtx;
        mTimeoutMs = timeoutMs;
        mMemory = memory.open(connectionCtx.channel(), this::onEvicted);
        mPace = memory.newPace(connectionCtx.channel());
    }

    /**
     * Installs the decoder on a new connection.
     *
     * @param options options of the server; an upgrade to HTTP/2 must be disabled, since its
     *     handler would decode the first head before this decoder does
     * @param timeoutMs longest time from the first byte of a head to its end, milliseconds
     * @param memory memory that requests of all connections take
     */
    public static void install(
            HttpConnection connection,
            HttpServerOptions options,
            LongSupplier timeoutMs,
            CallerMemory memory) {
        ChannelHandlerContext ctx = ((ConnectionBase) connection).channelHandlerContext();
        memory.limitAccepted(ctx.channel());
        RequestHeadDecoder decoder = new RequestHeadDecoder(ctx, options, timeoutMs, memory);
        ctx.pipeline().replace(HANDLER_NAME, HANDLER_NAME, decoder);
        ctx.pipeline()
                .addAfter(
                        ENCODER_NAME,
                        PIPELINE_NAME,
                        new RequestPipeline(ctx, decoder.mMemory, memory));
        connection.exceptionHandler(FatalErrors::endProcessIfFatal);
    }

    /** Returns the decoder of a connection; null when it has the library's. */
    static @Nullable RequestHeadDecoder of(HttpConnection connection) {
        return connection instanceof ConnectionBase base
                ? base.channelHandlerContext().pipeline().get(RequestHeadDecoder.class)
                : null;
    }

    /**
     * Sets what gives up the body that is being read when there is no memory for it; null when no
     * body is being read. Without it the connection is closed.
     */
    void setOnBodyEvicted(@Nullable Runnable onBodyEvicted) {
        mOnBodyEvicted = onBodyEvicted;
    }

    /**
     * Sets the memory that a body takes of which only a part is kept. What has arrived and was not
     * passed on counts besides. Has no effect when bytes of a later request are being decoded.
     *
     * @param keptBytes memory of what was passed on, bytes
     * @param passedBytes size of what was passed on so far, bytes
     */
    void setStreamedBytes(long keptBytes, long passedBytes) {
        if (mInBody && !mMemory.hasUnanswered()) {
            mStreamedBytes = keptBytes;
            mPassedBytes = passedBytes;
        }
    }

    /** Returns the error to send in response to a request whose head could not be decoded. */
    public static Problem toProblem(HttpServerRequest request) {
        if (request.decoderResult().cause() instanceof EvictedException) {
            return CallerMemory.evicted();
        }
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
        if (mRejected || mEvicted || !ctx.channel().isActive()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!mInBody && mTimer == null) {
            skipStrayLineEnds(in);
            if (!in.isReadable()) {
                return;
            }
            if (mMemory.hasUnanswered()) {
                mIsWaiting = true;
                mHasEnough = in.readableBytes() >= MAX_WAITING_BYTES;
                record(in.capacity());
                return;
            }
            mTimer =
                    ctx.executor()
                            .schedule(
                                    () -> rejectHead(ctx, new SlowHeadException()),
                                    mTimeoutMs.getAsLong(),
                                    TimeUnit.MILLISECONDS);
        }
        boolean wasInBody = mInBody;
        int start = in.readerIndex();
        int firstNew = out.size();
        super.decode(ctx, in, out);
        int consumed = in.readerIndex() - start;
        mReceivedBytes += consumed;
        long lines = 0;
        if (!wasInBody) {
            lines = countLines(in, start, consumed);
            mHeadBytes += consumed + HEADER_LINE_BYTES * lines;
        } else if (out.size() == firstNew) {
            lines = countLines(in, start, consumed);
            mTrailerBytes += consumed + HEADER_LINE_BYTES * lines;
        } else {
            // What came before content was the line with its size.
            mTrailerBytes = 0;
        }
        mPace.record(1 + lines, consumed);
        // A part that cannot be decoded yet keeps the whole buffer it was received in.
        record(in.isReadable() && out.size() == firstNew ? in.capacity() : 0);
        for (int i = firstNew; i < out.size() && !mEvicted; i++) {
            onDecoded(out.get(i));
        }
        if (mEvicted) {
            drop(out.subList(firstNew, out.size()));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        super.channelReadComplete(ctx);
        mPace.endRead(mIsWaiting && mHasEnough);
    }

    /** Runs a task that decodes the next request, after other connections had a chance. */
    void decodeLater(Runnable task) {
        mPace.decodeLater(task);
    }

    /** Returns whether more of a request is due that has been answered or given up. */
    boolean isReceiving() {
        return mInBody || mRejected || mEvicted;
    }

    /** Returns whether a request waits until the response to the one before it is sent. */
    boolean isWaiting() {
        return mIsWaiting;
    }

    /**
     * Decodes the next request, which waits until the response to the one before it is sent: what
     * is decoded takes many times the memory of its bytes, and callers need not read responses.
     */
    void decodeNext() throws Exception {
        ChannelHandlerContext ctx = mConnectionCtx.pipeline().context(this);
        if (ctx == null || !mIsWaiting) {
            return;
        }
        mIsWaiting = false;
        mPace.resume();
        channelRead(ctx, Unpooled.EMPTY_BUFFER);
        channelReadComplete(ctx);
    }

    private static long countLines(ByteBuf in, int start, int length) {
        long lines = 0;
        for (int i = start; i < start + length; i++) {
            if (in.getByte(i) == '\n') {
                lines++;
            }
        }
        return lines;
    }

    private void onDecoded(Object message) {
        if (message instanceof HttpMessage) {
            mInBody = true;
            mSkippedBytes = 0;
            cancelTimer();
        }
        if (message instanceof HttpContent content) {
            mBodyBytes += content.content().readableBytes();
        }
        if (message instanceof LastHttpContent) {
            record(0);
            mMemory.endRead();
            mInBody = false;
            mHeadBytes = 0;
            mBodyBytes = 0;
            mTrailerBytes = 0;
            mStreamedBytes = NOT_STREAMED;
            mPassedBytes = 0;
            mRecordedBytes = 0;
            mMessage = null;
        }
    }

    /** Records the memory of the request that is being read, with {@code undecodedBytes}. */
    private void record(long undecodedBytes) {
        long bodyBytes =
                mStreamedBytes == NOT_STREAMED
                        ? capacity(mBodyBytes)
                        : mStreamedBytes + Math.max(0, mBodyBytes - mPassedBytes);
        long heldBytes = REQUEST_BYTES + mHeadBytes + bodyBytes + mTrailerBytes + undecodedBytes;
        if (!mInBody || Math.abs(heldBytes - mRecordedBytes) >= MIN_CHANGE_BYTES) {
            mRecordedBytes = heldBytes;
            mMemory.recordRead(heldBytes, mReceivedBytes);
            mReceivedBytes = 0;
        }
    }

    /** Returns the capacity of a buffer that doubles while bytes are added to it. */
    private static long capacity(long bytes) {
        return bytes <= 1 ? bytes : Long.highestOneBit(bytes - 1) << 1;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        HttpMessage message = super.createMessage(initialLine);
        mMessage = message;
        return message;
    }

    /**
     * Gives up the request that is being read, and ends the connection: at once or after a response
     * that says so, or after that to the call before it.
     */
    private void onEvicted() {
        mEvicted = true;
        ChannelHandlerContext ctx = mConnectionCtx.pipeline().context(this);
        if (ctx == null) {
            // The connection is new, and its pipeline is incomplete.
            mConnectionCtx.executor().execute(() -> mConnectionCtx.close());
            return;
        }
        Runnable onBodyEvicted = mOnBodyEvicted;
        boolean isHead = !mInBody && mTimer != null;
        boolean canRespond = isHead || mInBody && onBodyEvicted != null;
        boolean hasAcceptedCall = mMemory.hasUnanswered();
        if (hasAcceptedCall) {
            // Only the next request is given up; the end of the connection is still noticed.
            mPace.resume();
        } else if (mRejected || !canRespond || mMemory.isAnsweredEarly()) {
            ctx.close();
        } else if (isHead || onBodyEvicted == null) {
            rejectHead(ctx, new EvictedException());
        } else {
            onBodyEvicted.run();
        }
        releaseAll(ctx, hasAcceptedCall);
    }

    /** Releases what the connection keeps of the request; it may stay open for the response. */
    private void releaseAll(ChannelHandlerContext ctx, boolean hasAcceptedCall) {
        HttpMessage message = mMessage;
        if (message != null) {
            // The server keeps the message until the connection is closed.
            message.headers().clear();
        }
        if (!ctx.isRemoved()) {
            InputDiscarder.replace(ctx.pipeline(), this, hasAcceptedCall);
        }
    }

    /** Drops the messages of a request that was evicted while they were decoded. */
    private static void drop(List<Object> messages) {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
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

    private void rejectHead(ChannelHandlerContext ctx, Exception cause) {
        mRejected = true;
        cancelTimer();
        DefaultHttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.setDecoderResult(DecoderResult.failure(cause));
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
