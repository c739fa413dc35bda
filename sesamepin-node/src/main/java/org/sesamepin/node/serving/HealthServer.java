package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the readiness check of the balancer and the metrics. */
final class HealthServer {
    private static final Logger LOG = LoggerFactory.getLogger(HealthServer.class);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final ServingState mState;
    private final ServingMetrics mMetrics;
    private final HttpServer mReadyServer;
    private final HttpServer mMetricsServer;

    HealthServer(Vertx vertx, ServingState state, ServingMetrics metrics) {
        mState = state;
        mMetrics = metrics;
        mReadyServer = vertx.createHttpServer().requestHandler(this::handleReady);
        mMetricsServer = vertx.createHttpServer().requestHandler(this::handleMetrics);
    }

    Future<Void> start(InetSocketAddress ready, InetSocketAddress metrics) {
        Future<?> readyStarted = mReadyServer.listen(ready.getPort(), ready.getHostString());
        Future<?> metricsStarted =
                mMetricsServer.listen(metrics.getPort(), metrics.getHostString());
        return Future.all(readyStarted, metricsStarted).mapEmpty();
    }

    private void handleReady(HttpServerRequest request) {
        boolean ready = mState.isReady();
        request.response()
                .setStatusCode(ready ? OK : UNAVAILABLE)
                .end(ready ? "ready" : "not ready");
    }

    private void handleMetrics(HttpServerRequest request) {
        try {
            request.response()
                    .putHeader("Content-Type", METRICS_TYPE)
                    .end(Buffer.buffer(mMetrics.text()));
        } catch (IOException e) {
            LOG.error("step=metrics outcome=failed", e);
            request.response().setStatusCode(UNAVAILABLE).end();
        }
    }
}
