package org.sesamepin.node.online;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Model;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.http.ResponseBody;
import org.sesamepin.node.http.ResponseMemory;
import org.sesamepin.node.prompt.CompletionBody;
import org.sesamepin.node.prompt.QuarantineProblems;
import org.sesamepin.node.slot.SlotLease;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.target.TargetHeaders;

/**
 * One model call, with a whole or a streamed response. The call is retried at another target as
 * long as no part of a response has been forwarded to the caller. An interrupted stream is resumed
 * after the last forwarded event, or ends with an error event if the target cannot resume it. A
 * response that belongs to another request is discarded together with its connection.
 */
final class CompletionRequest extends OnlineRequestBase {
    private static final int MIN_CLIENT_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MIN_CHECK_INTERVAL_MS = 10;

    private final ForwardedStream mStream =
            new ForwardedStream(mRequest.response(), mRequestId, this::recordFirstByte);
    private Buffer mBody = Buffer.buffer();
    private @Nullable CompletionBody mParsedBody;
    private @Nullable Model mModel;
    private @Nullable CallPrompt mPrompt;
    private @Nullable HttpClientRequest mTargetRequest;
    private @Nullable HttpClientResponse mTargetResponse;
    private ResponseMemory.@Nullable Holder mMemory;
    private long mLastProgressNanos;
    private long mProgressTimer = -1;
    private int mAttempt;
    private boolean mSent;
    private boolean mAborted;

    CompletionRequest(OnlineContext onlineContext, HttpServerRequest request) {
        super(onlineContext, request);
    }

    @Override
    protected void process() throws Problem {
        setCaller(mOnlineContext.authenticator().authenticate(mRequest));
        readBody()
                .compose(this::parseBody)
                .compose(v -> checkPrompt())
                .compose(v -> admit())
                .onSuccess(v -> tryNextTarget())
                .onFailure(this::fail);
    }

    private Future<Void> parseBody(Buffer body) {
        CompletionBody parsed;
        try {
            parsed = CompletionBody.parse(body.toString());
        } catch (DecodeException e) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.MALFORMED_REQUEST,
                            Step.READ_REQUEST,
                            "the body is not a JSON object"));
        }
        mBody = body;
        mParsedBody = parsed;
        String modelName = parsed.model();
        mModel = modelName == null ? null : caller().bundle().models().get(modelName);
        if (mModel == null) {
            String knownModels = caller().bundle().models().keySet().toString();
            return Future.failedFuture(
                    new Problem(
                            ProblemType.UNKNOWN_MODEL, Step.ROUTE, "known models: " + knownModels));
        }
        mPrompt =
                new CallPrompt(
                        mOnlineContext.promptGuard(),
                        model().name(),
                        parsed.promptParts(),
                        mRequestId);
        return Future.succeededFuture();
    }

    private CallPrompt prompt() {
        CallPrompt prompt = mPrompt;
        if (prompt == null) {
            throw new IllegalStateException("the prompt has not been read yet");
        }
        return prompt;
    }

    private Model model() {
        Model model = mModel;
        if (model == null) {
            throw new IllegalStateException("the model has not been checked yet");
        }
        return model;
    }

    /** Rejects a prompt under which targets of the model ended, before it counts for the rate. */
    private Future<Void> checkPrompt() {
        return onEventLoop(prompt().quarantine())
                .compose(
                        entry ->
                                entry == null
                                        ? Future.succeededFuture()
                                        : Future.failedFuture(
                                                QuarantineProblems.notRun(model().name(), entry)));
    }

    private void tryNextTarget() {
        acquireSlot(model().name(), estimatedTokens(), model().queueTimeoutMs())
                .onSuccess(this::callTarget)
                .onFailure(e -> fail(failureAfterAttempts(mSent, e)));
    }

    private long estimatedTokens() {
        CompletionBody parsed = mParsedBody;
        int responseTokens =
                parsed == null ? DEFAULT_MAX_TOKENS : parsed.maxTokens(DEFAULT_MAX_TOKENS);
        return mBody.length() / CHARS_PER_TOKEN + Math.max(1, responseTokens);
    }

    private void callTarget(SlotLease lease) {
        Target target = lease.target();
        TargetProtocol protocol;
        try {
            protocol = mOnlineContext.plugins().targetProtocol(target.protocol());
        } catch (SesamepinException e) {
            fail(e);
            return;
        }
        RequestOptions options =
                TargetClient.requestOptions(target, mRequest.method(), mRequest.path());
        KeyFilter.copyHeaders(caller(), mRequest.headers(), options);
        protocol.prepare(
                options, target, mRequestId, mStream.hasBegun() ? mStream.lastEventId() : null);
        int attempt = mAttempt;
        mLastProgressNanos = System.nanoTime();
        startProgressTimer(attempt, lease);
        onEventLoop(mOnlineContext.targetClient().open(target, mRequestId, options, true))
                .compose(request -> sendBody(request))
                .onSuccess(response -> onResponse(attempt, lease, protocol, response))
                .onFailure(e -> onAttemptFailed(attempt, lease, e));
    }

    private Future<HttpClientResponse> sendBody(HttpClientRequest request) {
        mTargetRequest = request;
        mSent = true;
        if (hasEnded()) {
            request.reset();
            return Future.failedFuture("the caller has disconnected");
        }
        return request.send(mBody);
    }

    private void startProgressTimer(int attempt, SlotLease lease) {
        stopProgressTimer();
        long intervalMs = Math.max(MIN_CHECK_INTERVAL_MS, model().progressTimeoutMs() / 8);
        mProgressTimer =
                mOnlineContext.vertx().setPeriodic(intervalMs, t -> checkProgress(attempt, lease));
    }

    private void stopProgressTimer() {
        if (mProgressTimer >= 0) {
            mOnlineContext.vertx().cancelTimer(mProgressTimer);
            mProgressTimer = -1;
        }
    }

    private void checkProgress(int attempt, SlotLease lease) {
        CompletionBody parsed = mParsedBody;
        boolean streaming = parsed != null && parsed.isStreaming();
        long limitMs = streaming ? model().progressTimeoutMs() : model().requestTimeoutMs();
        long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mLastProgressNanos);
        boolean waitsForCaller = mRequest.response().writeQueueFull();
        if (idleMs > limitMs && !waitsForCaller) {
            onAttemptFailed(attempt, lease, timeoutFailure(lease));
        }
    }

    private static SesamepinException timeoutFailure(SlotLease lease) {
        return new SesamepinException(
                Step.AWAIT_RESPONSE,
                lease.target().name(),
                Execution.UNKNOWN,
                "no progress in time",
                null);
    }

    private void onResponse(
            int attempt, SlotLease lease, TargetProtocol protocol, HttpClientResponse response) {
        if (attempt != mAttempt) {
            return;
        }
        String responseRequestId = response.getHeader(TargetHeaders.REQUEST_ID);
        if (!protocol.isResponseTo(mRequestId, responseRequestId)) {
            onAttemptFailed(
                    attempt,
                    lease,
                    responseFailure(lease, "the response belongs to another request"));
            return;
        }
        if (response.statusCode() >= MIN_SERVER_ERROR_STATUS
                || !ResponseBody.hasFinalStatus(response)) {
            onAttemptFailed(
                    attempt, lease, responseFailure(lease, "status " + response.statusCode()));
            return;
        }
        String type = response.getHeader("Content-Type");
        boolean isStream =
                type != null
                        && type.toLowerCase(Locale.ROOT).startsWith(ForwardedStream.MEDIA_TYPE);
        if (mStream.hasBegun() && !(isStream && response.statusCode() < MIN_CLIENT_ERROR_STATUS)) {
            onAttemptFailed(
                    attempt,
                    lease,
                    responseFailure(
                            lease,
                            "status " + response.statusCode() + " does not continue the stream"));
            return;
        }
        mTargetResponse = response;
        mLastProgressNanos = System.nanoTime();
        if (isStream) {
            forwardStream(attempt, lease, response);
        } else {
            forwardWholeResponse(attempt, lease, response);
        }
    }

    private static SesamepinException responseFailure(SlotLease lease, String message) {
        return new SesamepinException(
                Step.AWAIT_RESPONSE, lease.target().name(), Execution.UNKNOWN, message, null);
    }

    private void forwardWholeResponse(int attempt, SlotLease lease, HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        ResponseMemory.Holder memory = newMemory(attempt, lease);
        response.handler(
                part -> {
                    mLastProgressNanos = System.nanoTime();
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    body.appendBuffer(part);
                    memory.resize(body.length());
                    if (body.length() > ResponseBody.MAX_BYTES) {
                        onAttemptFailed(
                                attempt,
                                lease,
                                responseFailure(lease, "the response is too large"));
                    }
                });
        response.exceptionHandler(e -> onAttemptFailed(attempt, lease, e));
        response.endHandler(
                v -> {
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    stopProgressTimer();
                    recordFirstByte();
                    String type = response.getHeader("Content-Type");
                    mRequest.response()
                            .setStatusCode(response.statusCode())
                            .putHeader("Content-Type", type == null ? "application/json" : type)
                            .putHeader(TargetHeaders.REQUEST_ID, mRequestId)
                            .end(body)
                            .onComplete(written -> memory.release());
                    if (response.statusCode() < MIN_CLIENT_ERROR_STATUS) {
                        prompt().recordAnswer();
                    }
                    complete();
                });
    }

    /** Returns the memory of the response that is being received; it is released with its end. */
    private ResponseMemory.Holder newMemory(int attempt, SlotLease lease) {
        Promise<Void> revoked = Promise.promise();
        onEventLoop(revoked.future())
                .onFailure(e -> onAttemptFailed(attempt, lease, responseFailure(lease, "" + e)));
        releaseMemory();
        mMemory =
                mOnlineContext
                        .targetClient()
                        .responseMemory()
                        .newHolder(() -> revoked.tryFail("there is no memory for the response"));
        return mMemory;
    }

    private void releaseMemory() {
        ResponseMemory.Holder memory = mMemory;
        if (memory != null) {
            memory.release();
        }
    }

    private void forwardStream(int attempt, SlotLease lease, HttpClientResponse response) {
        ResponseMemory.Holder memory = newMemory(attempt, lease);
        response.handler(
                part -> {
                    mLastProgressNanos = System.nanoTime();
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    if (!mStream.accept(part)) {
                        onAttemptFailed(
                                attempt,
                                lease,
                                responseFailure(lease, "an event with its comments is too large"));
                        return;
                    }
                    if (!mStream.isIntact()) {
                        onAttemptFailed(
                                attempt,
                                lease,
                                responseFailure(lease, "an event is missing or came twice"));
                        return;
                    }
                    memory.resize(mStream.bufferedBytes());
                    applyBackpressure(response);
                });
        response.exceptionHandler(e -> onAttemptFailed(attempt, lease, e));
        response.endHandler(
                v -> {
                    if (hasEnded() || mTargetResponse != response) {
                        return;
                    }
                    if (!mStream.isDone()) {
                        onAttemptFailed(
                                attempt,
                                lease,
                                responseFailure(lease, "the stream ended before its last event"));
                        return;
                    }
                    endStream();
                });
    }

    private void endStream() {
        stopProgressTimer();
        releaseMemory();
        mRequest.response().end();
        prompt().recordAnswer();
        complete();
    }

    private void applyBackpressure(HttpClientResponse response) {
        HttpServerResponse caller = mRequest.response();
        if (caller.writeQueueFull()) {
            response.pause();
            caller.drainHandler(
                    v -> {
                        mLastProgressNanos = System.nanoTime();
                        response.resume();
                    });
        }
    }

    /**
     * Handles the failure of an attempt: resumes or retries the call at another target, or ends the
     * request if neither is possible.
     */
    private void onAttemptFailed(int attempt, SlotLease lease, Throwable cause) {
        // One failure can trigger several callbacks; only the first one of each attempt counts.
        if (hasEnded() || mAborted || attempt != mAttempt) {
            return;
        }
        mAttempt++;
        stopProgressTimer();
        if (mStream.isDone()) {
            resetTargetRequest();
            endStream();
            return;
        }
        if (mTargetRequest != null) {
            prompt().recordFailure(lease.target(), cause, mStream.events());
        }
        resetTargetRequest();
        releaseSlot(true);
        recordRetry(lease, cause);
        boolean canContinue = !mStream.hasBegun() || (canResume(lease) && mStream.canResume());
        if (!canContinue) {
            fail(targetFailedProblem(lease, cause));
            return;
        }
        mStream.resume();
        tryAgain();
    }

    private void tryAgain() {
        long delayMs = prompt().retryDelayMs();
        if (delayMs == 0) {
            tryUnlessQuarantined();
            return;
        }
        mOnlineContext.vertx().setTimer(delayMs, t -> tryUnlessQuarantined());
    }

    private void tryUnlessQuarantined() {
        if (hasEnded() || mAborted) {
            return;
        }
        onEventLoop(prompt().quarantine())
                .onSuccess(
                        entry -> {
                            if (entry == null) {
                                tryNextTarget();
                            } else {
                                failQuarantined(entry);
                            }
                        });
    }

    private void failQuarantined(PromptQuarantine.Entry entry) {
        String service = model().name();
        fail(
                mSent
                        ? QuarantineProblems.interrupted(service, entry)
                        : QuarantineProblems.notRun(service, entry));
    }

    private boolean canResume(SlotLease lease) {
        try {
            return mOnlineContext.plugins().targetProtocol(lease.target().protocol()).canResume();
        } catch (SesamepinException e) {
            return false;
        }
    }

    private static Problem targetFailedProblem(SlotLease lease, Throwable cause) {
        return new Problem(
                ProblemType.TARGET_FAILED,
                Step.STREAM,
                lease.target().name(),
                Execution.UNKNOWN,
                "the response was interrupted and cannot be resumed",
                0,
                cause);
    }

    private void resetTargetRequest() {
        releaseMemory();
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
        stopProgressTimer();
        resetTargetRequest();
    }

    @Override
    protected void sendProblem(Problem problem) {
        HttpServerResponse response = mRequest.response();
        if (!mStream.hasBegun() || response.ended()) {
            super.sendProblem(problem);
            return;
        }
        response.end("event: error\ndata: " + problem.toJson(mRequestId).encode() + "\n\n");
    }
}
