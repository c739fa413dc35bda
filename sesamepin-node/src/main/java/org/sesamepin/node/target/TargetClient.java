package org.sesamepin.node.target;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * Connections to targets. Calls that may not be repeated get a new connection each: one that was
 * left open can have gone silent, and the call would end in doubt.
 */
public final class TargetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int IDLE_SECONDS = 5;
    private static final int POOL_SIZE = 4_096;

    private final HttpClientAgent mPooled;
    private final HttpClientAgent mFresh;

    /** Creates a client without connections. */
    public TargetClient(Vertx vertx) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(POOL_SIZE);
        mPooled = vertx.createHttpClient(options().setKeepAlive(true), pool);
        mFresh = vertx.createHttpClient(options().setKeepAlive(false), pool);
    }

    private static HttpClientOptions options() {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setKeepAliveTimeout(IDLE_SECONDS)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false);
    }

    /** Returns where a call to {@code target} goes. */
    public static RequestOptions requestOptions(Target target, HttpMethod method, String uri) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(target.address().getHostString())
                .setPort(target.address().getPort())
                .setURI(uri);
    }

    /**
     * Opens a request; nothing is sent yet. A failure means that the target cannot be reached and
     * that nothing ran.
     */
    public Future<HttpClientRequest> open(
            Target target, RequestOptions options, boolean repeatable) {
        return open(target.name(), options, repeatable);
    }

    /** Opens a request to the target that logs and errors call {@code name}. */
    public Future<HttpClientRequest> open(String name, RequestOptions options, boolean repeatable) {
        HttpClientAgent client = repeatable ? mPooled : mFresh;
        return client.request(options)
                .recover(
                        e ->
                                Future.failedFuture(
                                        new SesamepinException(
                                                Step.CONNECT,
                                                name,
                                                "cannot connect: " + e.getMessage())));
    }

    @Override
    public void close() {
        mPooled.close();
        mFresh.close();
    }
}
