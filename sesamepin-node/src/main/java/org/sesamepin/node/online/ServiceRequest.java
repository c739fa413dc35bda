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
import org.sesamepin.node.slot.SlotLease;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.target.TargetHeaders;

/**
 * One call of a plain service. A call on a route that is not idempotent is sent at most once: it
 * goes to another target only while nothing of it can have reached the first. With an idempotency
 * key the intent is recorded before, so that a resend through any host never runs it again.
 */
final class ServiceRequest extends OnlineRequestBase {
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final Route mRoute;
    private final IntentLog mIntents;
    private Buffer mBody = Buffer.buffer();
    private @Nullable HttpClientRequest mTargetRequest;
    private IntentLog.@Nullable Intent mIntent;
    private boolean mSent;
    private boolean mAborted;

    ServiceRequest(OnlineContext node, HttpServerRequest request, Route route, IntentLog intents) {
        super(node, request);
        mRoute = route;
        mIntents = intents;
    }

    @Override
    protected void begin() throws Problem {
        identified(
                mRoute.open()
                        ? mNode.authenticator().anonymous(mRequest)
                        : mNode.authenticator().identify(mRequest));
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
                .onSuccess(go -> runOrReplay(go))
                .onFailure(this::fail);
    }

    /** Returns the earlier answer to replay, or null when the call is to be made now. */
    private Future<IntentLog.@Nullable StoredAnswer> recordIntent() {
        String key = mRequest.getHeader(IDEMPOTENCY_KEY);
        if (mRoute.idempotent() || key == null) {
            return Future.succeededFuture(null);
        }
        IntentLog.Intent intent =
                mIntents.intent(
                        caller().customerName(), mRoute.name(), key, mRequest.uri(), mBody, mId);
        return here(mIntents.begin(intent))
                .onSuccess(
                        earlier -> {
                            if (earlier == null) {
                                mIntent = intent;
                            }
                        });
    }

    private void runOrReplay(IntentLog.@Nullable StoredAnswer earlier) {
        if (earlier == null) {
            attempt();
            return;
        }
        mRequest.response()
                .setStatusCode(earlier.status())
                .putHeader("Content-Type", earlier.contentType())
                .putHeader("Idempotent-Replayed", "true")
                .putHeader(TargetHeaders.REQUEST_ID, mId)
                .end(earlier.body());
        completed();
    }

    private void attempt() {
        acquire(mRoute.service(), 1, mRoute.timeoutMs())
                .onSuccess(this::callTarget)
                .onFailure(this::notRun);
    }

    private void callTarget(SlotLease lease) {
        Target target = lease.target();
        TargetProtocol protocol;
        try {
            protocol = mNode.plugins().targetProtocol(target.protocol());
        } catch (SesamepinException e) {
            notRun(e);
            return;
        }
        RequestOptions options =
                TargetClient.requestOptions(target, mRequest.method(), mRequest.uri());
        KeyFilter.copyHeaders(caller(), mRequest.headers(), options);
        protocol.prepare(options, target, mId, null);
        here(mNode.client().open(target, options, mRoute.idempotent()))
                .onSuccess(request -> send(lease, protocol, request))
                .onFailure(e -> unreachable(lease, e));
    }

    /** Nothing reached the target, so another one may be tried on any route. */
    private void unreachable(SlotLease lease, Throwable e) {
        if (hasEnded() || mAborted) {
            return;
        }
        releaseSlot(true);
        logRetry(lease, e);
        attempt();
    }

    private void send(SlotLease lease, TargetProtocol protocol, HttpClientRequest request) {
        if (hasEnded()) {
            request.reset();
            return;
        }
        mTargetRequest = request;
        mSent = true;
        here(request.send(mBody)
                        .compose(response -> collect(protocol, response))
                        .timeout(mRoute.timeoutMs(), TimeUnit.MILLISECONDS))
                .onSuccess(answer -> answered(answer))
                .onFailure(e -> broken(lease, e));
    }

    private record Answer(HttpClientResponse head, Buffer body) {}

    private Future<Answer> collect(TargetProtocol protocol, HttpClientResponse response) {
        if (!protocol.isResponseTo(mId, response.getHeader(TargetHeaders.REQUEST_ID))) {
            return Future.failedFuture("answer of another request");
        }
        return response.body()
                .compose(
                        body ->
                                body.length() > MAX_ANSWER_BYTES
                                        ? Future.failedFuture("answer too large")
                                        : Future.succeededFuture(new Answer(response, body)));
    }

    private void answered(Answer answer) {
        HttpClientResponse head = answer.head();
        String type = head.getHeader("Content-Type");
        String contentType = type == null ? "application/octet-stream" : type;
        IntentLog.Intent intent = mIntent;
        if (intent != null) {
            // Also for a caller that left: a resend gets this answer.
            mIntents.complete(intent, head.statusCode(), contentType, answer.body());
        }
        if (hasEnded()) {
            return;
        }
        firstByte();
        HttpServerResponse response = mRequest.response();
        response.setStatusCode(head.statusCode())
                .putHeader("Content-Type", contentType)
                .putHeader(TargetHeaders.REQUEST_ID, mId)
                .end(answer.body());
        completed();
    }

    /** The call was sent and not answered: repeated only on an idempotent route. */
    private void broken(SlotLease lease, Throwable cause) {
        if (hasEnded() || mAborted) {
            return;
        }
        dropTarget();
        releaseSlot(true);
        if (mRoute.idempotent()) {
            logRetry(lease, cause);
            attempt();
            return;
        }
        fail(
                new Problem(
                        ProblemType.TARGET_FAILED,
                        Step.AWAIT_RESPONSE,
                        lease.target().name(),
                        Execution.UNKNOWN,
                        "sent, and no whole answer came; it was not sent again",
                        0,
                        cause));
    }

    /** Nothing was sent, unless an earlier attempt on an idempotent route was. */
    private void notRun(Throwable e) {
        IntentLog.Intent intent = mIntent;
        if (intent != null && !mSent) {
            mIntents.forget(intent);
        }
        if (mSent && e instanceof Problem problem) {
            fail(
                    new Problem(
                            problem.type(),
                            problem.step(),
                            problem.peer(),
                            Execution.UNKNOWN,
                            "an earlier attempt was sent",
                            0,
                            problem));
            return;
        }
        fail(e);
    }

    private void dropTarget() {
        HttpClientRequest request = mTargetRequest;
        mTargetRequest = null;
        if (request != null) {
            request.reset();
        }
    }

    @Override
    protected void abort() {
        // A call that may not be repeated goes on at the target, so that its answer is stored.
        if (mIntent == null || !mSent) {
            mAborted = true;
            dropTarget();
        }
        IntentLog.Intent intent = mIntent;
        if (intent != null && !mSent) {
            mIntents.forget(intent);
        }
    }
}
