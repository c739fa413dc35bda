package org.sesamepin.node.online;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.bundle.Route;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.batch.BatchApi;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.http.RequestHeadDecoder;

/** Listens for callers on one event loop; several instances share the address. */
public final class CallerServer extends VerticleBase {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final long HEAD_MS = 10_000;
    private static final int IDLE_SECONDS = 120;

    private final InetSocketAddress mAddress;
    private final OnlineContext mNode;
    private final BundleManager mBundles;
    private final IntentLog mIntents;
    private final BatchApi mBatch;

    /** Creates one instance. */
    public CallerServer(
            InetSocketAddress address,
            OnlineContext node,
            BundleManager bundles,
            IntentLog intents,
            BatchApi batch) {
        mAddress = address;
        mNode = node;
        mBundles = bundles;
        mIntents = intents;
        mBatch = batch;
    }

    @Override
    public Future<?> start() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHttp2ClearTextEnabled(false)
                        .setMaxHeaderSize(mNode.limits().maxHeaderBytes())
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setIdleTimeout(IDLE_SECONDS)
                        .setIdleTimeoutUnit(TimeUnit.SECONDS)
                        .setTcpNoDelay(true);
        return vertx.createHttpServer(options)
                .connectionHandler(c -> RequestHeadDecoder.install(c, options, () -> HEAD_MS))
                .requestHandler(this::handle)
                .invalidRequestHandler(CallerServer::refuseMalformed)
                .listen(mAddress.getPort(), mAddress.getHostString());
    }

    private static void refuseMalformed(HttpServerRequest request) {
        Problem problem = RequestHeadDecoder.toProblem(request);
        request.response().putHeader("Connection", "close");
        request.response().endHandler(v -> request.connection().close());
        problem.send(request.response(), UUID.randomUUID().toString());
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        boolean completion = "/v1/chat/completions".equals(path) || "/v1/completions".equals(path);
        if (completion && request.method().equals(HttpMethod.POST)) {
            new CompletionRequest(mNode, request).start();
        } else if (path != null && BatchApi.handles(path)) {
            mBatch.handle(request);
        } else if ("/v1/models".equals(path)) {
            models(request);
        } else {
            service(request, path == null ? "" : path);
        }
    }

    private void models(HttpServerRequest request) {
        try {
            CallerIdentity caller = mNode.authenticator().identify(request);
            JsonArray data = new JsonArray();
            for (String model : caller.bundle().models().keySet()) {
                data.add(new JsonObject().put("id", model).put("object", "model"));
            }
            request.response()
                    .putHeader("Content-Type", "application/json")
                    .end(new JsonObject().put("object", "list").put("data", data).toBuffer());
        } catch (Problem e) {
            e.send(request.response(), UUID.randomUUID().toString());
        }
    }

    private void service(HttpServerRequest request, String path) {
        Route route = mBundles.current().findRoute(path);
        if (route == null) {
            new Problem(ProblemType.NOT_FOUND, Step.ROUTE, "no route for " + path)
                    .send(request.response(), UUID.randomUUID().toString());
            return;
        }
        new ServiceRequest(mNode, request, route, mIntents).start();
    }
}
