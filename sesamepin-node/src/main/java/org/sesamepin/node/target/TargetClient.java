package org.sesamepin.node.target;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.http.ResponseMemory;

/**
 * HTTP client for targets. Each request that must not be repeated gets a new connection: a pooled
 * one can have become unresponsive while idle, which would leave the outcome of the request
 * unknown.
 */
public final class TargetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 5;
    private static final int MAX_POOLED_CONNECTIONS = 4_096;

    private final HttpClientAgent mPooled;
    private final HttpClientAgent mUnpooled;
    private final ResponseMemory mResponseMemory = new ResponseMemory();
    private final Set<HttpConnection> mUsedConnections =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

    /** Creates a client; connections are opened on demand. */
    public TargetClient(Vertx vertx) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_POOLED_CONNECTIONS);
        mPooled = createClient(vertx, clientOptions().setKeepAlive(true), pool);
        mUnpooled = createClient(vertx, clientOptions().setKeepAlive(false), pool);
    }

    /** Returns the memory for the responses of all targets. */
    public ResponseMemory responseMemory() {
        return mResponseMemory;
    }

    private static HttpClientAgent createClient(
            Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(connection -> ClientCodec.install(connection, options))
                .build();
    }

    private static HttpClientOptions clientOptions() {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setKeepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false);
    }

    /** Returns the options of a request to {@code target}: method, address and URI. */
    public static RequestOptions requestOptions(Target target, HttpMethod method, String uri) {
        return requestOptions(target.address(), method, uri);
    }

    /** Returns the options of a request to {@code address}: method, address and URI. */
    public static RequestOptions requestOptions(
            InetSocketAddress address, HttpMethod method, String uri) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(address.getHostString())
                .setPort(address.getPort())
                .setURI(uri);
    }

    /**
     * Connects to a target for a request; nothing is sent yet.
     *
     * @param requestId id of the request
     * @param repeatable whether the request may be repeated, and so may use a pooled connection
     * @return the request; fails with a {@link SesamepinException} when the target cannot be
     *     reached, and then the request was not run
     */
    public Future<HttpClientRequest> open(
            Target target, String requestId, RequestOptions options, boolean repeatable) {
        return open(target.name(), requestId, options, repeatable);
    }

    /**
     * Connects to the address in {@code options} for a request; nothing is sent yet.
     *
     * @param name name of the target in errors
     * @param requestId id of the request
     * @param repeatable whether the request may be repeated, and so may use a pooled connection
     * @return the request; fails with a {@link SesamepinException} when the target cannot be
     *     reached, and then the request was not run
     */
    public Future<HttpClientRequest> open(
            String name, String requestId, RequestOptions options, boolean repeatable) {
        HttpClientAgent client = repeatable ? mPooled : mUnpooled;
        return client.request(options)
                .recover(
                        e ->
                                Future.failedFuture(
                                        new SesamepinException(
                                                Step.CONNECT,
                                                name,
                                                "cannot connect: " + e.getMessage())))
                .compose(
                        request ->
                                replaceIfUnusable(request, name, requestId, options, repeatable));
    }

    private Future<HttpClientRequest> replaceIfUnusable(
            HttpClientRequest request,
            String name,
            String requestId,
            RequestOptions options,
            boolean repeatable) {
        if (!repeatable || ClientCodec.isUsable(request.connection())) {
            ClientCodec.recordUse(request.connection(), name, requestId);
            return Future.succeededFuture(request);
        }
        ClientCodec.discard(request);
        return open(name, requestId, options, false);
    }

    /** Returns whether no request was sent on the connection of {@code request} before. */
    public boolean isNew(HttpClientRequest request) {
        return !mUsedConnections.contains(request.connection());
    }

    /**
     * Records that a request is being sent on its connection.
     *
     * @return whether it is the first one there, so that no response to an earlier request can
     *     arrive in place of its own
     */
    public boolean recordUse(HttpClientRequest request) {
        return mUsedConnections.add(request.connection());
    }

    @Override
    public void close() {
        mPooled.close();
        mUnpooled.close();
    }
}
