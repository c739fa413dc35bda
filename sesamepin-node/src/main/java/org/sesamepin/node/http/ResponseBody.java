package org.sesamepin.node.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import java.util.Set;

/**
 * Reads or discards the body of a target's response within limits. A faulty target may send bytes
 * without end until its connection is closed.
 */
public final class ResponseBody {
    /** Maximum size of a response body that is kept in memory, bytes. */
    public static final int MAX_BYTES = 16 << 20;

    /** Body bytes that are discarded to keep a connection usable; beyond that it is closed. */
    private static final int MAX_DISCARDED_BYTES = 64 << 10;

    private static final long DISCARD_TIMEOUT_MS = 1_000;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 999;

    /** Statuses of responses that have no body: no content, not modified. */
    private static final Set<Integer> BODILESS_STATUSES = Set.of(204, 304);

    private ResponseBody() {}

    /**
     * Returns whether a caller can read the status of a response as that of the answer to its
     * request: after a status below 200 it waits for another one, and a status line needs three
     * digits.
     */
    public static boolean hasFinalStatus(HttpClientResponse response) {
        int status = response.statusCode();
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    /** Returns whether the end of a response is told by more than the end of its connection. */
    public static boolean isFramed(HttpClientResponse response) {
        return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
                || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null
                || BODILESS_STATUSES.contains(response.statusCode());
    }

    /**
     * Reads a whole body into memory.
     *
     * @param memory memory that the body takes until it is complete
     * @return the body; fails when it is interrupted, has more than {@link #MAX_BYTES} or there is
     *     no memory for it, and then the connection is closed
     */
    public static Future<Buffer> read(HttpClientResponse response, ResponseMemory memory) {
        return read(response, memory, () -> {});
    }

    /**
     * Reads a whole body into memory as {@link #read(HttpClientResponse, ResponseMemory)} does.
     *
     * @param onPart runs for each part received
     */
    public static Future<Buffer> read(
            HttpClientResponse response, ResponseMemory memory, Runnable onPart) {
        Promise<Buffer> promise = Promise.promise();
        ResponseMemory.Holder holder =
                memory.newHolder(() -> giveUp(response, promise, "there is no memory for it"));
        Buffer body = Buffer.buffer();
        response.handler(
                part -> {
                    onPart.run();
                    int size = body.length() + part.length();
                    if (size > MAX_BYTES) {
                        giveUp(response, promise, "it exceeds " + MAX_BYTES + " bytes");
                        return;
                    }
                    holder.resize(size);
                    if (!promise.future().isComplete()) {
                        body.appendBuffer(part);
                    }
                });
        response.exceptionHandler(promise::tryFail);
        response.endHandler(v -> promise.tryComplete(body));
        return promise.future().onComplete(done -> holder.release());
    }

    private static void giveUp(
            HttpClientResponse response, Promise<Buffer> promise, String reason) {
        promise.tryFail("the response body is given up: " + reason);
        close(response);
    }

    /**
     * Discards a body, so that the connection can serve further requests. Closes the connection
     * when the body is large or does not end soon.
     */
    public static void discard(Vertx vertx, HttpClientResponse response) {
        long timer = vertx.setTimer(DISCARD_TIMEOUT_MS, t -> close(response));
        int[] discardedBytes = new int[1];
        response.handler(
                part -> {
                    discardedBytes[0] += part.length();
                    if (discardedBytes[0] > MAX_DISCARDED_BYTES) {
                        vertx.cancelTimer(timer);
                        close(response);
                    }
                });
        response.exceptionHandler(e -> vertx.cancelTimer(timer));
        response.endHandler(v -> vertx.cancelTimer(timer));
        response.resume();
    }

    private static void close(HttpClientResponse response) {
        response.handler(null);
        response.request().reset();
    }
}
