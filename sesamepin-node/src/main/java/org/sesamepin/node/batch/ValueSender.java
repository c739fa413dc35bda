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

/** Sends values of the store to a caller, one after the other, so that memory stays bounded. */
final class ValueSender {
    private ValueSender() {}

    /** Turns a stored value into bytes for the caller. */
    interface Decoder {
        Buffer decode(byte[] value) throws SesamepinException;
    }

    /** Returns the results, or the errors, of a result segment. */
    static Buffer resultLines(byte[] value, boolean errors) throws SesamepinException {
        Buffer lines = Buffer.buffer();
        for (ItemResult result : ResultSegment.decode(value)) {
            if (result.failed() == errors) {
                lines.appendString(ResultSegment.line(result));
            }
        }
        return lines;
    }

    /** Sends values in order; cuts the connection when one cannot be read. */
    static Future<Void> send(
            JobStore store,
            Context context,
            HttpServerRequest request,
            List<String> keys,
            Decoder decoder) {
        request.response().setChunked(true).putHeader("Content-Type", "application/jsonl");
        return sendValue(store, context, request, keys, 0, decoder)
                .compose(v -> request.response().end())
                .recover(
                        e -> {
                            // A cut connection, so that a part never looks like the whole file.
                            if (request.response().headWritten()) {
                                request.connection().close();
                            }
                            return Future.failedFuture(e);
                        });
    }

    private static Future<Void> sendValue(
            JobStore store,
            Context context,
            HttpServerRequest request,
            List<String> keys,
            int index,
            Decoder decoder) {
        if (index >= keys.size()) {
            return Future.succeededFuture();
        }
        return Contexts.on(context, store.value(keys.get(index)))
                .compose(
                        value -> {
                            try {
                                return request.response().write(decoder.decode(value));
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                        })
                .compose(v -> sendValue(store, context, request, keys, index + 1, decoder));
    }
}
