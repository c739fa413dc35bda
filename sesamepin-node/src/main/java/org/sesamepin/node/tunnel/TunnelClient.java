package org.sesamepin.node.tunnel;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.target.TargetClient;

/** Opens requests to targets through a given peer. */
public final class TunnelClient {
    private static final long CONNECT_TIMEOUT_MS = 150;

    private final TargetClient mClient;

    /** Creates a client that uses the pools of {@code client}. */
    public TunnelClient(TargetClient client) {
        mClient = client;
    }

    /** Returns whether a request goes through a peer. */
    public static boolean isTunnelled(HttpClientRequest request) {
        return TunnelHandshake.isTunnel(request.connection());
    }

    /**
     * Connects to a target through a peer; nothing of the request is sent yet.
     *
     * @param peer address at which the peer listens for other hosts
     * @param options options of the request, with the address of the target
     * @param repeatable whether the request may be repeated, and so may use a pooled connection
     * @return the request; fails with a {@link TunnelException} when the peer does not connect it
     */
    public Future<HttpClientRequest> open(
            SocketAddress peer,
            TargetInstance target,
            String requestId,
            RequestOptions options,
            boolean repeatable) {
        RequestOptions throughPeer =
                new RequestOptions(options).setServer(peer).setConnectTimeout(CONNECT_TIMEOUT_MS);
        return mClient.open(target.id(), requestId, throughPeer, repeatable)
                .recover(e -> Future.failedFuture(noAnswer(e)))
                .compose(request -> performHandshake(request, target));
    }

    private static Future<HttpClientRequest> performHandshake(
            HttpClientRequest request, TargetInstance target) {
        return TunnelHandshake.perform(request.connection(), target.incarnation())
                .recover(e -> Future.failedFuture(noAnswer(e)))
                .compose(
                        answer ->
                                answer == TunnelAnswer.CONNECTED
                                        ? Future.succeededFuture(request)
                                        : Future.failedFuture(
                                                new TunnelException(answer.label(), answer)))
                .onFailure(e -> ClientCodec.discard(request));
    }

    private static TunnelException noAnswer(Throwable e) {
        return new TunnelException(String.valueOf(e.getMessage()), null);
    }
}
