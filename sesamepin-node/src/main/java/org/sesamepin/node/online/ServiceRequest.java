package org.sesamepin.node.online;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Route;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.http.ResponseBody;
import org.sesamepin.node.slot.SlotLease;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.target.TargetHeaders;

/**
 * One call of a plain service. On a route that is not idempotent, the call is sent at most once: it
 * is tried at another target only if nothing of it can have reached the previous one. With an
 * idempotency key, the intent is recorded before the call is sent, so that a retry through any host
 * never runs it again.
 */
final class ServiceRequest extends OnlineRequestBase {
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final Route mRoute;
    private final IntentLog mIntentLog;
    private Buffer mBody = Buffer.buffer();
    private @Nullable HttpClientRequest mTargetRequest;
    private IntentLog.@Nullable Intent mIntent;
    private boolean mSent;
    private boolean mAborted;

    ServiceRequest(
            OnlineContext onlineContext,
            HttpServerRequest request,
            Route route,
            IntentLog intentLog) {
        super(onlineContext, request);
        mRoute = route;
        mIntentLog = intentLog;
    }

    @Override
    protected void process() throws Problem {
        setCaller(
                mRoute.open()
                        ? mOnlineContext.authenticator().anonymous(mRequest)
                        : mOnlineContext.authenticator().authenticate(mRequest));
        if (!mRoute.methods().contains(mRequest.method().name())) {
            String allowed = "allowed: " + String.join(", ", mRoute.methods());
            throw new Problem(ProblemType.METHOD_REFUSED, Step.ROUTE, allowed);
        }
        readBody()
                .compose(
                        body -> {
                            mBody = body;
                            return admit();
                        })
                .compose(v -> recordIntent())
                .onSuccess(earlierResponse -> runOrReplay(earlierResponse))
                .onFailure(this::fail);
    }

    /** Returns the stored response of an earlier call, or null when the call is to be made now. */
    private Future<IntentLog.@Nullable StoredResponse> recordIntent() {
        String idempotencyKey = mRequest.getHeader(IDEMPOTENCY_KEY_HEADER);
        if (mRoute.idempotent() || idempotencyKey == null) {
            return Future.succeededFuture(null);
        }
        IntentLog.Intent intent =
                mIntentLog.createIntent(
                        caller().customerName(),
                        mRoute.name(),
                        idempotencyKey,
                        mRequest.uri(),
                        mBody,
                        mRequestId);
        return onEventLoop(mIntentLog.recordIntent(intent))
                .onSuccess(
                        earlierResponse -> {
                            if (earlierResponse == null) {
                                mIntent = intent;
                            }
                        });
    }

    private void runOrReplay(IntentLog.@Nullable StoredResponse earlierResponse) {
        if (earlierResponse == null) {
            tryNextTarget();
            return;
        }
        mRequest.response()
                .setStatusCode(earlierResponse.status())
                .putHeader("Content-Type", earlierResponse.contentType())
                .putHeader("Idempotent-Replayed", "true")
                .putHeader(TargetHeaders.REQUEST_ID, mRequestId)
                .end(earlierResponse.body());
        complete();
    }

    private void tryNextTarget() {
        acquireSlot(mRoute.service(), 1, mRoute.timeoutMs())
                .onSuccess(this::callTarget)
                .onFailure(this::failUnsent);
    }

    private void callTarget(SlotLease lease) {
        Target target = lease.target();
        TargetProtocol protocol;
        try {
            protocol = mOnlineContext.plugins().targetProtocol(target.protocol());
        } catch (SesamepinException e) {
            failUnsent(e);
            return;
        }
        RequestOptions options =
                TargetClient.requestOptions(target, mRequest.method(), mRequest.uri());
        KeyFilter.copyHeaders(caller(), mRequest.headers(), options);
        protocol.prepare(options, target, mRequestId, null);
        onEventLoop(
                        mOnlineContext
                                .targetClient()
                                .open(target, mRequestId, options, mRoute.idempotent()))
                .onSuccess(request -> sendBody(lease, protocol, request))
                .onFailure(e -> onTargetUnreachable(lease, e));
    }

    /**
     * Tries another target after a failed connection. Nothing has reached the target, so this is
     * allowed on any route.
     */
    private void onTargetUnreachable(SlotLease lease, Throwable e) {
        if (hasEnded() || mAborted) {
            return;
        }
        releaseSlot(true);
        recordRetry(lease, e);
        tryNextTarget();
    }

    private void sendBody(SlotLease lease, TargetProtocol protocol, HttpClientRequest request) {
        if (hasEnded()) {
            request.reset();
            return;
        }
        mTargetRequest = request;
        mSent = true;
        onEventLoop(
                        request.send(mBody)
                                .compose(response -> readResponse(protocol, response))
                                .timeout(mRoute.timeoutMs(), TimeUnit.MILLISECONDS))
                .onSuccess(wholeResponse -> onResponse(wholeResponse))
                .onFailure(e -> onAttemptFailed(lease, e));
    }

    private record WholeResponse(HttpClientResponse response, Buffer body) {}

    private Future<WholeResponse> readResponse(
            TargetProtocol protocol, HttpClientResponse response) {
        if (!protocol.isResponseTo(mRequestId, response.getHeader(TargetHeaders.REQUEST_ID))) {
            return Future.failedFuture("the response belongs to another request");
        }
        if (!ResponseBody.hasFinalStatus(response)) {
            String status = "status " + response.statusCode() + " is not that of an answer";
            return Future.failedFuture(status);
        }
        return ResponseBody.read(response, mOnlineContext.targetClient().responseMemory())
                .map(body -> new WholeResponse(response, body));
    }

    private void onResponse(WholeResponse wholeResponse) {
        HttpClientResponse targetResponse = wholeResponse.response();
        String type = targetResponse.getHeader("Content-Type");
        String contentType = type == null ? "application/octet-stream" : type;
        IntentLog.Intent intent = mIntent;
        if (intent != null) {
            // Stored even if the caller has disconnected, so that a retry gets this response.
            mIntentLog.storeResponse(
                    intent, targetResponse.statusCode(), contentType, wholeResponse.body());
        }
        if (hasEnded()) {
            return;
        }
        recordFirstByte();
        HttpServerResponse callerResponse = mRequest.response();
        callerResponse
                .setStatusCode(targetResponse.statusCode())
                .putHeader("Content-Type", contentType)
                .putHeader(TargetHeaders.REQUEST_ID, mRequestId)
                .end(wholeResponse.body());
        complete();
    }

    /**
     * Handles a call that was sent and got no whole response. It may have run, so it is repeated on
     * an idempotent route only.
     */
    private void onAttemptFailed(SlotLease lease, Throwable cause) {
        if (hasEnded() || mAborted) {
            return;
        }
        resetTargetRequest();
        releaseSlot(true);
        if (mRoute.idempotent()) {
            recordRetry(lease, cause);
            tryNextTarget();
            return;
        }
        fail(
                new Problem(
                        ProblemType.TARGET_FAILED,
                        Step.AWAIT_RESPONSE,
                        lease.target().name(),
                        Execution.UNKNOWN,
                        "the call was sent but got no complete response; it was not repeated",
                        0,
                        cause));
    }

    /**
     * Ends the request because no further attempt can be made. Nothing was sent to a target, unless
     * there was an earlier attempt on an idempotent route, in which case the call may have run.
     */
    private void failUnsent(Throwable e) {
        IntentLog.Intent intent = mIntent;
        if (intent != null && !mSent) {
            mIntentLog.deleteIntent(intent);
        }
        fail(failureAfterAttempts(mSent, e));
    }

    private void resetTargetRequest() {
        HttpClientRequest request = mTargetRequest;
        mTargetRequest = null;
        if (request != null) {
            request.reset();
        }
    }

    @Override
    protected void abort() {
        // A call with a recorded intent continues at the target, so that its response is stored.
        if (mIntent == null || !mSent) {
            mAborted = true;
            resetTargetRequest();
        }
        IntentLog.Intent intent = mIntent;
        if (intent != null && !mSent) {
            mIntentLog.deleteIntent(intent);
        }
    }
}
