package org.sesamepin.node.online;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Model;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.EventStreamParser;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.slot.SlotLease;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.target.TargetHeaders;

/**
 * One model call of a caller, whole or streamed. A call is repeated at another target as long as
 * nothing of its answer was passed on; a broken stream is resumed behind the last event passed on,
 * or ends with an error event. An answer that belongs to another request is discarded with its
 * connection.
 */
final class CompletionRequest extends OnlineRequestBase {
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int DEFAULT_TOKENS = 256;
    private static final int MIN_CHECK_MS = 10;

    private final EventStreamParser mParser = new EventStreamParser(this::passOn);
    private Buffer mBody = Buffer.buffer();
    private JsonObject mCall = new JsonObject();
    private @Nullable Model mModel;
    private @Nullable HttpClientRequest mTargetRequest;
    private @Nullable HttpClientResponse mTargetResponse;
    private long mLastProgressAt;
    private long mTimer = -1;
    private boolean mPassedOn;
    private int mAttempt;
    private boolean mAborted;

    CompletionRequest(OnlineContext node, HttpServerRequest request) {
        super(node, request);
    }

    @Override
    protected void begin() throws Problem {
        identified(mNode.authenticator().identify(mRequest));
        readBody()
                .compose(this::checked)
                .compose(v -> admit())
                .onSuccess(v -> attempt())
                .onFailure(this::fail);
    }

    private Future<Void> checked(Buffer body) {
        try {
            mCall = body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.MALFORMED_REQUEST, Step.READ_REQUEST, "not a JSON object"));
        }
        mBody = body;
        Object name = mCall.getValue("model");
        mModel = name == null ? null : caller().bundle().models().get(name.toString());
        if (mModel == null) {
            String known = caller().bundle().models().keySet().toString();
            return Future.failedFuture(
                    new Problem(ProblemType.UNKNOWN_MODEL, Step.ROUTE, "known models: " + known));
        }
        return Future.succeededFuture();
    }

    private Model model() {
        Model model = mModel;
        if (model == null) {
            throw new IllegalStateException("the model is checked first");
        }
        return model;
    }

    private void attempt() {
        acquire(model().name(), estimatedTokens(), model().queueTimeoutMs())
                .onSuccess(this::callTarget)
                .onFailure(this::fail);
    }

    private long estimatedTokens() {
        Object limit = mCall.getValue("max_tokens");
        int tokens = limit instanceof Number number ? number.intValue() : DEFAULT_TOKENS;
        return mBody.length() / CHARS_PER_TOKEN + Math.max(1, tokens);
    }

    private void callTarget(SlotLease lease) {
        Target target = lease.target();
        TargetProtocol protocol;
        try {
            protocol = mNode.plugins().targetProtocol(target.protocol());
        } catch (SesamepinException e) {
            fail(e);
            return;
        }
        RequestOptions options =
                TargetClient.requestOptions(target, mRequest.method(), mRequest.path());
        KeyFilter.copyHeaders(caller(), mRequest.headers(), options);
        protocol.prepare(options, target, mId, mPassedOn ? mParser.lastEventId() : null);
        int attempt = mAttempt;
        mLastProgressAt = System.nanoTime();
        startTimer(attempt, lease);
        here(mNode.client().open(target, options, true))
                .compose(request -> send(request))
                .onSuccess(response -> answered(attempt, lease, protocol, response))
                .onFailure(e -> broken(attempt, lease, e));
    }

    private Future<HttpClientResponse> send(HttpClientRequest request) {
        mTargetRequest = request;
        if (hasEnded()) {
            request.reset();
            return Future.failedFuture("the caller left");
        }
        return request.send(mBody);
    }

    private void startTimer(int attempt, SlotLease lease) {
        stopTimer();
        long interval = Math.max(MIN_CHECK_MS, model().progressTimeoutMs() / 8);
        mTimer = mNode.vertx().setPeriodic(interval, t -> checkProgress(attempt, lease));
    }

    private void stopTimer() {
        if (mTimer >= 0) {
            mNode.vertx().cancelTimer(mTimer);
            mTimer = -1;
        }
    }

    private void checkProgress(int attempt, SlotLease lease) {
        boolean streaming = Boolean.TRUE.equals(mCall.getValue("stream"));
        long limitMs = streaming ? model().progressTimeoutMs() : model().requestTimeoutMs();
        long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mLastProgressAt);
        boolean waitsForCaller = mRequest.response().writeQueueFull();
        if (silentMs > limitMs && !waitsForCaller) {
            broken(attempt, lease, timeout(lease));
        }
    }

    private static SesamepinException timeout(SlotLease lease) {
        return new SesamepinException(
                Step.AWAIT_RESPONSE, lease.target().name(), Execution.UNKNOWN, "silent", null);
    }

    private void answered(
            int attempt, SlotLease lease, TargetProtocol protocol, HttpClientResponse response) {
        if (attempt != mAttempt) {
            return;
        }
        String answeredId = response.getHeader(TargetHeaders.REQUEST_ID);
        if (!protocol.isResponseTo(mId, answeredId)) {
            broken(attempt, lease, failure(lease, "answer of another request"));
            return;
        }
        if (response.statusCode() >= STATUS_SERVER_ERROR) {
            broken(attempt, lease, failure(lease, "status " + response.statusCode()));
            return;
        }
        mTargetResponse = response;
        mLastProgressAt = System.nanoTime();
        String type = response.getHeader("Content-Type");
        if (type != null && type.startsWith("text/event-stream")) {
            relay(attempt, lease, response);
        } else {
            collect(attempt, lease, response);
        }
    }

    private static SesamepinException failure(SlotLease lease, String message) {
        return new SesamepinException(
                Step.AWAIT_RESPONSE, lease.target().name(), Execution.UNKNOWN, message, null);
    }

    private void collect(int attempt, SlotLease lease, HttpClientResponse response) {
        Buffer answer = Buffer.buffer();
        response.handler(
                part -> {
                    mLastProgressAt = System.nanoTime();
                    answer.appendBuffer(part);
                    if (answer.length() > MAX_ANSWER_BYTES) {
                        broken(attempt, lease, failure(lease, "answer too large"));
                    }
                });
        response.exceptionHandler(e -> broken(attempt, lease, e));
        response.endHandler(
                v -> {
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    stopTimer();
                    firstByte();
                    String type = response.getHeader("Content-Type");
                    mRequest.response()
                            .setStatusCode(response.statusCode())
                            .putHeader("Content-Type", type == null ? "application/json" : type)
                            .putHeader(TargetHeaders.REQUEST_ID, mId)
                            .end(answer);
                    completed();
                });
    }

    private void relay(int attempt, SlotLease lease, HttpClientResponse response) {
        response.handler(
                part -> {
                    mLastProgressAt = System.nanoTime();
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    if (!mParser.accept(part)) {
                        broken(attempt, lease, failure(lease, "event too large"));
                        return;
                    }
                    slowDown(response);
                });
        response.exceptionHandler(e -> broken(attempt, lease, e));
        response.endHandler(
                v -> {
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    if (!mParser.isDone()) {
                        broken(attempt, lease, failure(lease, "stream ended early"));
                        return;
                    }
                    stopTimer();
                    mRequest.response().end();
                    completed();
                });
    }

    private void slowDown(HttpClientResponse response) {
        HttpServerResponse caller = mRequest.response();
        if (caller.writeQueueFull()) {
            response.pause();
            caller.drainHandler(
                    v -> {
                        mLastProgressAt = System.nanoTime();
                        response.resume();
                    });
        }
    }

    private void passOn(Buffer event) {
        HttpServerResponse caller = mRequest.response();
        if (!mPassedOn) {
            firstByte();
            mPassedOn = true;
            caller.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("Cache-Control", "no-store")
                    .putHeader(TargetHeaders.REQUEST_ID, mId);
        }
        caller.write(event);
    }

    /** The call at this target failed: resumes or repeats it elsewhere, once for each attempt. */
    private void broken(int attempt, SlotLease lease, Throwable cause) {
        // One failure shows at several places; only the first one of an attempt counts.
        if (hasEnded() || mAborted || attempt != mAttempt) {
            return;
        }
        mAttempt++;
        stopTimer();
        dropTarget();
        releaseSlot(true);
        logRetry(lease, cause);
        boolean canGoOn = !mPassedOn || (canResume(lease) && mParser.lastEventId() != null);
        if (!canGoOn) {
            fail(targetFailed(lease, cause));
            return;
        }
        mParser.discardPartialEvent();
        attempt();
    }

    private boolean canResume(SlotLease lease) {
        try {
            return mNode.plugins().targetProtocol(lease.target().protocol()).canResume();
        } catch (SesamepinException e) {
            return false;
        }
    }

    private static Problem targetFailed(SlotLease lease, Throwable cause) {
        return new Problem(
                ProblemType.TARGET_FAILED,
                Step.STREAM,
                lease.target().name(),
                Execution.UNKNOWN,
                "the answer broke off and cannot be resumed",
                0,
                cause);
    }

    private void dropTarget() {
        mTargetResponse = null;
        HttpClientRequest request = mTargetRequest;
        mTargetRequest = null;
        if (request != null) {
            request.reset();
        }
    }

    @Override
    protected void abort() {
        mAborted = true;
        stopTimer();
        dropTarget();
    }

    @Override
    protected void answer(Problem problem) {
        HttpServerResponse response = mRequest.response();
        if (!mPassedOn || response.ended()) {
            super.answer(problem);
            return;
        }
        response.end("event: error\ndata: " + problem.toJson(mId).encode() + "\n\n");
    }
}
