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

/** Base class of the stand-ins: an HTTP server on one address that is closed with the stand-in. */
public abstract class StandInServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StandInServer.class);
    private static final int CLOSE_TIMEOUT_MS = 2_000;

    /** The Vert.x instance whose event loops run the stand-in. */
    protected final Vertx mVertx;

    private volatile HttpServer mServer;
    private volatile boolean mClosed;
    private final InetSocketAddress mAddress;

    /** Creates a stand-in that will listen on {@code address}. */
    protected StandInServer(Vertx vertx, InetSocketAddress address) {
        mVertx = vertx;
        mAddress = address;
        mServer = createServer();
    }

    private HttpServer createServer() {
        HttpServerOptions options = new HttpServerOptions().setIdleTimeout(0);
        return mVertx.createHttpServer(options).requestHandler(this::handle);
    }

    /** Closes the listener and all connections for a time, as the end of the process would. */
    protected final void restartAfter(long downtimeMs) {
        mServer.close()
                .compose(v -> mVertx.timer(downtimeMs, TimeUnit.MILLISECONDS))
                .compose(
                        v -> {
                            if (mClosed) {
                                return Future.succeededFuture();
                            }
                            mServer = createServer();
                            return start();
                        })
                .onFailure(
                        e ->
                                LOG.error(
                                        "standin={} address={} outcome=not-restarted",
                                        getClass().getSimpleName(),
                                        address(),
                                        e));
    }

    /** Starts listening; the future fails when the address is already in use. */
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

    /** Returns the address that the stand-in listens on, as {@code IP:PORT}. */
    public String address() {
        return mAddress.getHostString() + ":" + mAddress.getPort();
    }

    /** Handles one request; runs on the server's event loop. */
    protected abstract void handle(HttpServerRequest request);

    /** Sends a response with a JSON body; does nothing when the response has ended or is closed. */
    protected static void respond(HttpServerRequest request, int status, JsonObject body) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }

    /** Parses a body as a JSON object; returns an empty object when it is not one. */
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

    /** Returns the array member {@code name}, or an empty array when it is missing. */
    protected static JsonArray getArrayOrEmpty(JsonObject object, String name) {
        JsonArray value = object.getJsonArray(name);
        return value == null ? new JsonArray() : value;
    }

    @Override
    public void close() throws Exception {
        mClosed = true;
        mServer.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
