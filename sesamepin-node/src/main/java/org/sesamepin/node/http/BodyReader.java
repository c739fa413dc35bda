package org.sesamepin.node.http;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sesamepin.core.error.Step;

/** Reads the body of a request, with limits on its size and on the time without a received byte. */
public final class BodyReader {
    private BodyReader() {}

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
        Buffer body = Buffer.buffer();
        return read(vertx, request, maxBytes, timeoutMs, body::appendBuffer, part -> {}).map(body);
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
        RequestHeadDecoder decoder = RequestHeadDecoder.of(request.connection());
        if (decoder == null) {
            return read(vertx, request, maxBytes, timeoutMs, parts, part -> {});
        }
        decoder.setStreamedBytes(heldBytes.getAsLong());
        return read(
                vertx,
                request,
                maxBytes,
                timeoutMs,
                parts,
                part -> decoder.setStreamedBytes(heldBytes.getAsLong()));
    }

    private static Future<Void> read(
            Vertx vertx,
            HttpServerRequest request,
            long maxBytes,
            long timeoutMs,
            Consumer<Buffer> parts,
            Consumer<Buffer> afterPart) {
        Promise<Void> promise = Promise.promise();
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        AtomicLong size = new AtomicLong();
        AtomicLong lastReceivedAt = new AtomicLong(System.nanoTime());
        long timer =
                vertx.setPeriodic(
                        Math.max(10, timeoutMs / 4),
                        t -> {
                            if (System.nanoTime() - lastReceivedAt.get() > timeoutNanos) {
                                promise.tryFail(problem(ProblemType.CALLER_TOO_SLOW, "silence"));
                            }
                        });
        Handler<Buffer> onPart =
                part -> {
                    lastReceivedAt.set(System.nanoTime());
                    if (size.addAndGet(part.length()) > maxBytes) {
                        String detail = "at most " + maxBytes + " bytes are allowed";
                        promise.tryFail(problem(ProblemType.TOO_LARGE, detail));
                        return;
                    }
                    parts.accept(part);
                    afterPart.accept(part);
                };
        String type = request.getHeader("Content-Type");
        if (type != null && type.startsWith("multipart/form-data")) {
            request.setExpectMultipart(true);
            request.uploadHandler(upload -> upload.handler(onPart));
        } else {
            request.handler(onPart);
        }
        request.exceptionHandler(
                e ->
                        promise.tryFail(
                                problem(
                                        ProblemType.MALFORMED_REQUEST,
                                        "the request body was interrupted")));
        request.endHandler(v -> promise.tryComplete());
        RequestHeadDecoder decoder = RequestHeadDecoder.of(request.connection());
        if (decoder != null) {
            decoder.setOnBodyEvicted(() -> promise.tryFail(CallerMemory.evicted()));
        }
        request.resume();
        return promise.future()
                .eventually(
                        () -> {
                            vertx.cancelTimer(timer);
                            if (decoder != null) {
                                decoder.setOnBodyEvicted(null);
                            }
                            return Future.succeededFuture();
                        })
                .onFailure(e -> closeAfterResponse(request));
    }

    /** Closes the connection after the response: unread parts of the body make it unusable. */
    private static void closeAfterResponse(HttpServerRequest request) {
        request.handler(null);
        if (!request.response().headWritten()) {
            request.response().putHeader("Connection", "close");
        }
        request.response().endHandler(v -> request.connection().close());
    }

    private static Problem problem(ProblemType type, String detail) {
        return new Problem(type, Step.READ_REQUEST, detail);
    }
}
