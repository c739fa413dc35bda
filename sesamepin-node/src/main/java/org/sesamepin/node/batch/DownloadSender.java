package org.sesamepin.node.batch;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import org.sesamepin.core.batch.ItemResult;
import org.sesamepin.core.batch.ResultSegment;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.node.http.Contexts;

/**
 * Sends stored values to a caller as one chunked response. Reads and writes one value at a time, so
 * that memory stays bounded.
 */
final class DownloadSender {
    private DownloadSender() {}

    /** Decodes a stored value into the bytes that are sent. */
    interface ValueDecoder {
        Buffer decode(byte[] value) throws SesamepinException;
    }

    /**
     * Decodes a result segment into JSON lines. Returns the lines of the failed items if {@code
     * errors} is set, else those of the completed items.
     */
    static Buffer decodeResultLines(byte[] value, boolean errors) throws SesamepinException {
        Buffer lines = Buffer.buffer();
        for (ItemResult result : ResultSegment.decode(value)) {
            if (result.failed() == errors) {
                lines.appendString(ResultSegment.line(result));
            }
        }
        return lines;
    }

    /** Sends the values of {@code keys} in order; closes the connection if one cannot be read. */
    static Future<Void> send(
            JobStore store,
            Context context,
            HttpServerRequest request,
            List<String> keys,
            ValueDecoder decoder) {
        request.response().setChunked(true).putHeader("Content-Type", "application/jsonl");
        return sendValues(store, context, request, keys, 0, decoder)
                .compose(v -> request.response().end())
                .recover(
                        e -> {
                            // Closes the connection without ending the chunked body, so that the
                            // caller cannot mistake a partial file for a complete one.
                            if (request.response().headWritten()) {
                                request.connection().close();
                            }
                            return Future.failedFuture(e);
                        });
    }

    private static Future<Void> sendValues(
            JobStore store,
            Context context,
            HttpServerRequest request,
            List<String> keys,
            int index,
            ValueDecoder decoder) {
        if (index >= keys.size()) {
            return Future.succeededFuture();
        }
        return Contexts.completeOn(context, store.readValue(keys.get(index)))
                .compose(
                        value -> {
                            try {
                                return request.response().write(decoder.decode(value));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        })
                .compose(v -> sendValues(store, context, request, keys, index + 1, decoder));
    }
}
