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
import org.sesamepin.node.http.CallerMemory;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.http.RequestHeadDecoder;

/**
 * HTTP server for callers, which dispatches requests to their handlers. Each instance runs on one
 * event loop; several instances share the address.
 */
public final class CallerServer extends VerticleBase {
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;
    private static final long HEAD_TIMEOUT_MS = 10_000;
    private static final int IDLE_TIMEOUT_SECONDS = 120;

    private final InetSocketAddress mAddress;
    private final OnlineContext mOnlineContext;
    private final BundleManager mBundles;
    private final IntentLog mIntentLog;
    private final BatchApi mBatchApi;
    private final CallerMemory mMemory;

    /**
     * Creates an instance that listens at {@code address}.
     *
     * @param memory memory that requests take, of all instances together
     */
    public CallerServer(
            InetSocketAddress address,
            OnlineContext onlineContext,
            BundleManager bundles,
            IntentLog intentLog,
            BatchApi batchApi,
            CallerMemory memory) {
        mAddress = address;
        mOnlineContext = onlineContext;
        mBundles = bundles;
        mIntentLog = intentLog;
        mBatchApi = batchApi;
        mMemory = memory;
    }

    @Override
    public Future<?> start() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHttp2ClearTextEnabled(false)
                        .setMaxHeaderSize(mOnlineContext.limits().maxHeaderBytes())
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setIdleTimeoutUnit(TimeUnit.SECONDS)
                        .setReceiveBufferSize(CallerMemory.RECEIVE_BUFFER_BYTES)
                        .setTcpNoDelay(true);
        return vertx.createHttpServer(options)
                .connectionHandler(
                        c -> RequestHeadDecoder.install(c, options, () -> HEAD_TIMEOUT_MS, mMemory))
                .requestHandler(this::handle)
                .invalidRequestHandler(CallerServer::rejectMalformed)
                .listen(mAddress.getPort(), mAddress.getHostString());
    }

    private static void rejectMalformed(HttpServerRequest request) {
        Problem problem = RequestHeadDecoder.toProblem(request);
        request.response().putHeader("Connection", "close");
        request.response().endHandler(v -> request.connection().close());
        problem.send(request.response(), UUID.randomUUID().toString());
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        boolean isCompletion =
                "/v1/chat/completions".equals(path) || "/v1/completions".equals(path);
        if (isCompletion && request.method().equals(HttpMethod.POST)) {
            new CompletionRequest(mOnlineContext, request).start();
        } else if (path != null && BatchApi.handles(path)) {
            mBatchApi.handle(request);
        } else if ("/v1/models".equals(path)) {
            listModels(request);
        } else {
            handleServiceRequest(request, path == null ? "" : path);
        }
    }

    private void listModels(HttpServerRequest request) {
        try {
            CallerIdentity caller = mOnlineContext.authenticator().authenticate(request);
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

    private void handleServiceRequest(HttpServerRequest request, String path) {
        Route route = mBundles.current().findRoute(path);
        if (route == null) {
            new Problem(ProblemType.NOT_FOUND, Step.ROUTE, "no route matches " + path)
                    .send(request.response(), UUID.randomUUID().toString());
            return;
        }
        new ServiceRequest(mOnlineContext, request, route, mIntentLog).start();
    }
}
