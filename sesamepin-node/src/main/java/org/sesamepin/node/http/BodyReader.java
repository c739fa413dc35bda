package org.sesamepin.node.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Step;

/**
 * Reads the body of a request, with limits on its size and on the time without a received byte.
 * Confined to the event loop.
 */
public final class BodyReader {
    /** Size of a body from which it is checked whether it need be read, bytes. */
    private static final long LARGE_BYTES = 64 << 10;

    private static final int CHECKS_PER_TIMEOUT = 4;
    private static final long MIN_CHECK_INTERVAL_MS = 10;
    private static final long MAX_CHECK_INTERVAL_MS = 500;

    private final HttpServerRequest mRequest;
    private final long mMaxBytes;
    private final HeadCheck mHeadCheck;
    private final boolean mIsStream;
    private final @Nullable RequestHeadDecoder mDecoder;
    private final Promise<Void> mPromise = Promise.promise();
    private Consumer<Buffer> mParts;
    private LongSupplier mHeldBytes;
    private long mReceivedBytes;
    private long mLastReceivedAt = System.nanoTime();
    private boolean mIsRefused;

    private BodyReader(
            HttpServerRequest request,
            long maxBytes,
            HeadCheck headCheck,
            Consumer<Buffer> parts,
            LongSupplier heldBytes,
            boolean isStream) {
        mRequest = request;
        mMaxBytes = maxBytes;
        mHeadCheck = headCheck;
        mParts = parts;
        mHeldBytes = heldBytes;
        mIsStream = isStream;
        mDecoder = RequestHeadDecoder.of(request.connection());
    }

    /** Checks what is known of a request before its body is read. */
    @FunctionalInterface
    public interface HeadCheck {
        /**
         * Checks whether the request can be served.
         *
         * @throws Problem when it cannot
         */
        void check() throws Problem;
    }

    /**
     * Reads a whole body into memory.
     *
     * @param maxBytes maximum size of the body, bytes
     * @param timeoutMs idle timeout: longest time without a received byte, milliseconds
     * @return the body; fails with a {@link Problem} when a limit is exceeded or the body is
     *     interrupted
     */
    public static Future<Buffer> read(
            Vertx vertx, HttpServerRequest request, long maxBytes, long timeoutMs) {
        return read(vertx, request, maxBytes, timeoutMs, () -> {});
    }

    /**
     * Reads a whole body into memory, unless it is large and the request cannot be served. Then the
     * rest of the body is discarded as it arrives, and the connection stays usable. A request that
     * cannot be served any more while its body arrives slowly is given up, and its connection is
     * closed after the response.
     *
     * @param maxBytes maximum size of the body, bytes
     * @param timeoutMs idle timeout: longest time without a received byte, milliseconds
     * @param headCheck runs when more than 64 KiB of the body are announced or have arrived, and
     *     twice a second while it arrives
     * @return the body; fails with the {@link Problem} of the check, or with one when a limit is
     *     exceeded or the body is interrupted
     */
    public static Future<Buffer> read(
            Vertx vertx,
            HttpServerRequest request,
            long maxBytes,
            long timeoutMs,
            HeadCheck headCheck) {
        Buffer body = Buffer.buffer();
        BodyReader reader =
                new BodyReader(
                        request, maxBytes, headCheck, body::appendBuffer, body::length, false);
        return reader.start(vertx, timeoutMs).map(body);
    }

    /**
     * Passes each received part of a body to a consumer; of a multipart form, only the content of
     * its files.
     *
     * @param maxBytes maximum size of the body, bytes
     * @param timeoutMs idle timeout: longest time without a received byte, milliseconds
     * @param parts receives the parts in order
     * @param heldBytes returns the memory that the consumer takes, bytes
     * @return completes at the end of the body; fails with a {@link Problem} when a limit is
     *     exceeded or the body is interrupted
     */
    public static Future<Void> stream(
            Vertx vertx,
            HttpServerRequest request,
            long maxBytes,
            long timeoutMs,
            Consumer<Buffer> parts,
            LongSupplier heldBytes) {
        return new BodyReader(request, maxBytes, () -> {}, parts, heldBytes, true)
                .start(vertx, timeoutMs);
    }

    private Future<Void> start(Vertx vertx, long timeoutMs) {
        if (announcedBytes() > LARGE_BYTES && !passesHeadCheck()) {
            mRequest.resume();
            return mPromise.future();
        }
        recordStreamed();
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        long intervalMs =
                Math.min(
                        MAX_CHECK_INTERVAL_MS,
                        Math.max(MIN_CHECK_INTERVAL_MS, timeoutMs / CHECKS_PER_TIMEOUT));
        long timer = vertx.setPeriodic(intervalMs, t -> check(timeoutNanos));
        handleParts();
        mRequest.exceptionHandler(
                e -> fail(ProblemType.MALFORMED_REQUEST, "the request body was interrupted"));
        mRequest.endHandler(v -> mPromise.tryComplete());
        setOnEvicted(() -> mPromise.tryFail(CallerMemory.evicted()));
        mRequest.resume();
        return mPromise.future()
                .eventually(
                        () -> {
                            vertx.cancelTimer(timer);
                            setOnEvicted(null);
                            return Future.succeededFuture();
                        })
                .onFailure(e -> endConnection());
    }

    /** Returns the length that the head of the request names; 0 when it names none. */
    private long announcedBytes() {
        String length = mRequest.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length.strip());
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns whether the request can be served; else its body is discarded, also what is kept. */
    private boolean passesHeadCheck() {
        try {
            mHeadCheck.check();
            return true;
        } catch (Problem e) {
            mIsRefused = true;
            mParts = part -> {};
            mHeldBytes = () -> 0;
            mRequest.handler(this::discard);
            mRequest.exceptionHandler(t -> {});
            recordDiscarded();
            mPromise.tryFail(e);
            return false;
        }
    }

    private void discard(Buffer part) {
        mReceivedBytes += part.length();
        recordDiscarded();
        if (mReceivedBytes > mMaxBytes) {
            mRequest.connection().close();
        }
    }

    private void handleParts() {
        String type = mRequest.getHeader(HttpHeaders.CONTENT_TYPE);
        if (mIsStream && type != null && type.startsWith("multipart/form-data")) {
            mRequest.setExpectMultipart(true);
            mRequest.uploadHandler(upload -> upload.handler(this::onPart));
        } else {
            mRequest.handler(this::onPart);
        }
    }

    private void onPart(Buffer part) {
        mLastReceivedAt = System.nanoTime();
        boolean wasSmall = mReceivedBytes <= LARGE_BYTES;
        mReceivedBytes += part.length();
        if (mReceivedBytes > mMaxBytes) {
            fail(ProblemType.TOO_LARGE, "at most " + mMaxBytes + " bytes are allowed");
            return;
        }
        if (wasSmall && mReceivedBytes > LARGE_BYTES && !passesHeadCheck()) {
            return;
        }
        mParts.accept(part);
        recordStreamed();
    }

    /** Gives up a body that has stopped to arrive, or whose request cannot be served any more. */
    private void check(long timeoutNanos) {
        if (System.nanoTime() - mLastReceivedAt > timeoutNanos) {
            fail(ProblemType.CALLER_TOO_SLOW, "silence");
            return;
        }
        try {
            mHeadCheck.check();
        } catch (Problem e) {
            mPromise.tryFail(e);
        }
    }

    private void fail(ProblemType type, String detail) {
        mPromise.tryFail(new Problem(type, Step.READ_REQUEST, detail));
    }

    /** Records what the consumer keeps; parts of a form that it does not get are kept besides. */
    private void recordStreamed() {
        if (mDecoder != null && mIsStream) {
            mDecoder.setStreamedBytes(mHeldBytes.getAsLong(), mReceivedBytes);
        }
    }

    private void recordDiscarded() {
        if (mDecoder != null) {
            mDecoder.setStreamedBytes(0, mReceivedBytes);
        }
    }

    private void setOnEvicted(@Nullable Runnable onEvicted) {
        if (mDecoder != null) {
            mDecoder.setOnBodyEvicted(onEvicted);
        }
    }

    /**
     * Closes the connection after the response: unread parts of the body make it unusable. The rest
     * of a body that was refused is discarded instead.
     */
    private void endConnection() {
        if (mIsRefused) {
            return;
        }
        // The connection may stay open for a while, and does not count any more.
        mParts = part -> {};
        mHeldBytes = () -> 0;
        mRequest.handler(null);
        if (!mRequest.response().headWritten()) {
            mRequest.response().putHeader("Connection", "close");
        }
        mRequest.response().endHandler(v -> mRequest.connection().close());
    }
}
