package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.tunnel.TunnelClient;
import org.sesamepin.node.tunnel.TunnelException;

/**
 * Opens requests to targets: directly, or through a peer when the direct connection fails, is late,
 * or this host is cut off from the targets. Nothing of a request is sent before it is open, so two
 * ways may be tried at once for any request. Confined to the event loop.
 */
public final class TargetConnector {
    private static final long HEDGE_DELAY_MS = 100;
    private static final long SHORT_CONNECT_TIMEOUT_MS = 150;
    private static final int MAX_PEERS_WHEN_SUSPECT = 3;

    private final Vertx mVertx;
    private final TargetClient mClient;
    private final PeerTunnels mTunnels;
    private final TargetReachability mReachability;

    /** Creates a connector. */
    public TargetConnector(
            Vertx vertx,
            TargetClient client,
            PeerTunnels tunnels,
            TargetReachability reachability) {
        mVertx = vertx;
        mClient = client;
        mTunnels = tunnels;
        mReachability = reachability;
    }

    /**
     * Connects to a target for a request; nothing is sent yet.
     *
     * @param repeatable whether the request may be repeated, and so may use a pooled connection
     * @return the request; fails when the target cannot be reached, and then the request was not
     *     run
     */
    public Future<HttpClientRequest> open(
            TargetInstance target, String requestId, RequestOptions options, boolean repeatable) {
        Opening opening = new Opening(target, requestId, options, repeatable);
        return mReachability.isIsolated() ? opening.throughPeerFirst() : opening.directlyFirst();
    }

    /**
     * Returns whether a failure of a request is one of its target: a direct connection of a host
     * that is cut off says nothing.
     */
    public boolean isFailureOfTarget(HttpClientRequest request) {
        return !mReachability.isIsolated() || TunnelClient.isTunnelled(request);
    }

    /** Returns whether a failure to open a request is one of its target. */
    public boolean isFailureOfTarget(Throwable openFailure) {
        return !mReachability.isIsolated() || isTargetUnreachable(openFailure);
    }

    private static boolean isTargetUnreachable(Throwable e) {
        return e instanceof TunnelException tunnel && tunnel.isTargetUnreachable();
    }

    /** Records that a request on an open connection got no response in time, or lost it. */
    public void recordUnresponsive() {
        mReachability.doubt();
    }

    private final class Opening {
        private final TargetInstance mTarget;
        private final String mRequestId;
        private final RequestOptions mOptions;
        private final boolean mRepeatable;
        private final Promise<HttpClientRequest> mResult = Promise.promise();
        private boolean mTunnelStarted;
        private boolean mTunnelEnded;
        private boolean mDirectEnded;

        Opening(
                TargetInstance target,
                String requestId,
                RequestOptions options,
                boolean repeatable) {
            mTarget = target;
            mRequestId = requestId;
            mOptions = options;
            mRepeatable = repeatable;
        }

        Future<HttpClientRequest> throughPeerFirst() {
            return openTunnel()
                    .recover(
                            e ->
                                    isTargetUnreachable(e)
                                            ? Future.failedFuture(e)
                                            : directlyAsLastResort());
        }

        private Future<HttpClientRequest> openTunnel() {
            int maxPeers = mReachability.isSuspect() ? MAX_PEERS_WHEN_SUSPECT : 1;
            return mTunnels.open(mTarget, mRequestId, mOptions, mRepeatable, maxPeers)
                    .onSuccess(this::recordTunnel)
                    .onFailure(this::recordNoTunnel);
        }

        private void recordTunnel(HttpClientRequest request) {
            if (mClient.isNew(request)) {
                mReachability.recordReachedByPeer(mTarget.incarnation());
            }
        }

        private void recordNoTunnel(Throwable e) {
            if (isTargetUnreachable(e)) {
                mReachability.recordUnreachableFromPeer(mTarget.incarnation());
            }
        }

        private RequestOptions optionsWithShortTimeout() {
            return new RequestOptions(mOptions).setConnectTimeout(SHORT_CONNECT_TIMEOUT_MS);
        }

        private Future<HttpClientRequest> directlyAsLastResort() {
            return mClient.open(mTarget.id(), mRequestId, optionsWithShortTimeout(), false)
                    .onSuccess(request -> mReachability.recordConnected());
        }

        Future<HttpClientRequest> directlyFirst() {
            RequestOptions options =
                    mReachability.isSuspect() ? optionsWithShortTimeout() : mOptions;
            Future<HttpClientRequest> direct =
                    mClient.open(mTarget.id(), mRequestId, options, mRepeatable);
            if (direct.succeeded()) {
                onDirect(direct.result());
                return mResult.future();
            }
            long timer = mVertx.setTimer(HEDGE_DELAY_MS, t -> onDirectLate());
            direct.onSuccess(
                            request -> {
                                mVertx.cancelTimer(timer);
                                onDirect(request);
                            })
                    .onFailure(
                            e -> {
                                mVertx.cancelTimer(timer);
                                onDirectFailed(e);
                            });
            return mResult.future();
        }

        private void onDirect(HttpClientRequest request) {
            mDirectEnded = true;
            if (mClient.isNew(request)) {
                mReachability.recordConnected();
            }
            complete(request);
        }

        private void complete(HttpClientRequest request) {
            if (!mResult.tryComplete(request)) {
                ClientCodec.discard(request);
            }
        }

        private void onDirectLate() {
            mReachability.recordSilent(mTarget.incarnation());
            startTunnel();
        }

        private void onDirectFailed(Throwable e) {
            mDirectEnded = true;
            if (!mTunnelStarted) {
                mReachability.recordFailed(mTarget.incarnation());
                startTunnel();
            }
            if (mTunnelEnded) {
                mResult.tryFail(e);
            }
        }

        private void startTunnel() {
            mTunnelStarted = true;
            openTunnel()
                    .onSuccess(this::complete)
                    .onFailure(
                            e -> {
                                mTunnelEnded = true;
                                if (mDirectEnded) {
                                    mResult.tryFail(e);
                                }
                            });
        }
    }
}
