package org.sesamepin.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Base of the stand-ins: an HTTP listener on one address, closed with the stand-in. */
public abstract class StandInServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StandInServer.class);
    private static final int CLOSE_TIMEOUT_MS = 2_000;

    /** The event loops on which the stand-in runs. */
    protected final Vertx mVertx;

    private final HttpServer mServer;
    private final InetSocketAddress mAddress;

    /** Creates a stand-in that will listen on {@code address}. */
    protected StandInServer(Vertx vertx, InetSocketAddress address) {
        mVertx = vertx;
        mAddress = address;
        mServer = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(0));
        mServer.requestHandler(this::handle);
    }

    /** Starts listening; the future fails when the address is taken. */
    public Future<Void> start() {
        return mServer.listen(mAddress.getPort(), mAddress.getHostString())
                .onSuccess(
                        s ->
                                LOG.info(
                                        "standin={} address={}",
                                        getClass().getSimpleName(),
                                        address()))
                .mapEmpty();
    }

    /** Returns the IP number and port. */
    public String address() {
        return mAddress.getHostString() + ":" + mAddress.getPort();
    }

    /** Handles one request; runs on the listener's event loop. */
    protected abstract void handle(HttpServerRequest request);

    /** Answers with a JSON body. */
    protected static void respond(HttpServerRequest request, int status, JsonObject body) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }

    /** Reads a JSON object from a body; an empty one for anything else. */
    protected static JsonObject parseJsonObject(Buffer body) {
        if (body.length() == 0) {
            return new JsonObject();
        }
        try {
            return body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            return new JsonObject();
        }
    }

    /** Returns an array member, empty when it is missing. */
    protected static JsonArray getArrayOrEmpty(JsonObject object, String name) {
        JsonArray value = object.getJsonArray(name);
        return value == null ? new JsonArray() : value;
    }

    @Override
    public void close() throws Exception {
        mServer.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
