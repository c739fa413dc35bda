package org.sesamepin.node.admin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * HTTP server for operators with the paths {@code /live}, {@code /ready}, {@code /metrics} and
 * {@code /status}.
 */
public final class AdminServer implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int CLOSE_TIMEOUT_MS = 1_000;

    private final HttpServer mServer;
    private final InetSocketAddress mAddress;
    private final NodeMetrics mMetrics;
    private final Supplier<String> mUnreadyReason;
    private final Supplier<JsonObject> mStatus;

    /**
     * Creates a server; {@link #start} starts listening.
     *
     * @param unreadyReason supplies the reason why the node is not ready; empty when it is ready
     * @param status supplies the state of the node
     */
    public AdminServer(
            Vertx vertx,
            InetSocketAddress address,
            NodeMetrics metrics,
            Supplier<String> unreadyReason,
            Supplier<JsonObject> status) {
        mAddress = address;
        mMetrics = metrics;
        mUnreadyReason = unreadyReason;
        mStatus = status;
        mServer = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts listening; the future fails when the address cannot be bound. */
    public Future<Void> start() {
        return mServer.listen(mAddress.getPort(), mAddress.getHostString()).mapEmpty();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/live" -> send(request, STATUS_OK, "text/plain", Buffer.buffer("live\n"));
            case "/ready" -> sendReadiness(request);
            case "/metrics" -> sendMetrics(request);
            case "/status" ->
                    send(request, STATUS_OK, "application/json", mStatus.get().toBuffer());
            default -> send(request, STATUS_NOT_FOUND, "text/plain", Buffer.buffer("not found\n"));
        }
    }

    private void sendReadiness(HttpServerRequest request) {
        String reason = mUnreadyReason.get();
        boolean ready = reason.isEmpty();
        String text = ready ? "ready\n" : reason + "\n";
        send(request, ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain", Buffer.buffer(text));
    }

    private void sendMetrics(HttpServerRequest request) {
        try {
            String type = "text/plain; version=0.0.4; charset=utf-8";
            send(request, STATUS_OK, type, Buffer.buffer(mMetrics.toPrometheusText()));
        } catch (IOException e) {
            send(request, STATUS_UNAVAILABLE, "text/plain", Buffer.buffer(e + "\n"));
        }
    }

    private static void send(HttpServerRequest request, int status, String type, Buffer body) {
        request.response().setStatusCode(status).putHeader("Content-Type", type).end(body);
    }

    @Override
    public void close() throws Exception {
        mServer.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
