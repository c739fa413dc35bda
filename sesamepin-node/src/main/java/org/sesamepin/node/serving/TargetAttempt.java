package org.sesamepin.node.serving;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetLoad;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.http.EventStreamParser;
import org.sesamepin.node.http.IdleTimeout;
import org.sesamepin.node.http.ResponseBody;
import org.sesamepin.node.http.ResponseMemory;
import org.sesamepin.node.http.StreamEvent;
import org.sesamepin.node.prompt.LostTarget;
import org.sesamepin.node.tunnel.TunnelClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to run a request at one target. Notifies its listener of exactly one end: not
 * executed, interrupted, or complete; a cancelled attempt notifies of nothing more. Bytes that do
 * not belong to the request close the connection.
 *
 * <p>A response belongs to the request when it carries the request's id. A refusal without an id
 * counts only on a connection that carried no request before: on a kept connection it may be an
 * earlier one, written once more.
 */
public final class TargetAttempt {
    /**
     * The request of an attempt and its limits.
     *
     * @param head head of the caller's request
     * @param body body of the request
     * @param customer name of the customer; null for an anonymous caller
     * @param budgetMs time that the target may use, milliseconds
     * @param resumeAfter id of the last event that was already received; null for a stream from its
     *     start
     * @param batch whether the request is a batch item
     * @param newConnection whether the request needs a connection of its own: because it may not
     *     run twice, and a pooled connection may be closed just as the request is sent; or because
     *     an earlier attempt with the same id may still be answered on a pooled one
     * @param idleTimeoutMs longest time without a byte of the response, milliseconds; 0 for no
     *     limit
     */
    public record Plan(
            CallHead head,
            Buffer body,
            @Nullable String customer,
            long budgetMs,
            @Nullable String resumeAfter,
            boolean batch,
            boolean newConnection,
            long idleTimeoutMs) {}

    private static final Logger LOG = LoggerFactory.getLogger(TargetAttempt.class);
    private static final int MISDIRECTED = 421;

    /**
     * Statuses that a caller reads as "the request did not run". Without the target's own statement
     * they are not forwarded, since the request may have run.
     */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 429, 503);

    private final ServingContext mContext;
    private final TargetInstance mTarget;
    private final TargetLoad mLoad;
    private final Plan mPlan;
    private final AttemptListener mListener;
    private final EventStreamParser mParser =
            new EventStreamParser(this::onParsedEvent, this::onParsedComment);
    private final ResponseMemory.Holder mEventMemory;
    private @Nullable HttpClientRequest mRequest;
    private @Nullable HttpClientResponse mResponse;
    private final IdleTimeout mIdleTimeout;
    private long mLastEventId;
    private long mEventCount;
    private final EventIntervalMeter mEventIntervals = new EventIntervalMeter();
    private boolean mSent;
    private boolean mFirstOnConnection;
    private boolean mEnded;

    /** Creates an attempt; nothing is sent yet. */
    public TargetAttempt(
            ServingContext context, TargetInstance target, Plan plan, AttemptListener listener) {
        mContext = context;
        mTarget = target;
        mLoad = context.loads().loadOf(target);
        mEventMemory =
                context.targetClient()
                        .responseMemory()
                        .newHolder(() -> endInterrupted("there is no memory for the event"));
        mPlan = plan;
        mListener = listener;
        String resumeAfter = plan.resumeAfter();
        mLastEventId = resumeAfter == null ? 0 : Math.max(0, EventIds.parse(resumeAfter));
        mIdleTimeout =
                new IdleTimeout(
                        context.vertx(),
                        context.ticker(),
                        plan.idleTimeoutMs(),
                        this::onIdle,
                        listener::onProgressAfterSilence);
    }

    public TargetInstance target() {
        return mTarget;
    }

    /** Connects to the target and sends the request. */
    public void start() {
        mLoad.recordStart(mPlan.batch());
        RequestOptions options =
                new RequestOptions()
                        .setMethod(mPlan.head().method())
                        .setHost(mTarget.address().getHostString())
                        .setPort(mTarget.address().getPort())
                        .setURI(mPlan.head().uri())
                        .setHeaders(
                                mContext.protocol()
                                        .requestHeaders(
                                                mPlan.head(),
                                                mTarget,
                                                mPlan.customer(),
                                                mPlan.budgetMs(),
                                                mPlan.resumeAfter()));
        mContext.connector()
                .open(mTarget, mPlan.head().id(), options, !mPlan.newConnection())
                .onSuccess(guarded(this::onConnected))
                .onFailure(this::endNotOpened);
    }

    private void endNotOpened(Throwable e) {
        String reason = String.valueOf(e.getMessage());
        if (mContext.connector().isFailureOfTarget(e)) {
            endNotExecuted(true, reason);
            return;
        }
        if (!mEnded) {
            end();
            mListener.onNoPath(reason);
        }
    }

    /** Returns {@code step} such that a failure that it does not expect ends the attempt. */
    private <T extends @Nullable Object> Handler<T> guarded(Handler<T> step) {
        return value -> {
            try {
                step.handle(value);
            } catch (RuntimeException e) {
                LOG.error(
                        "step=attempt request={} target={} outcome=unexpected-failure",
                        mPlan.head().id(),
                        mTarget.incarnation(),
                        e);
                endInterrupted("unexpected failure: " + e);
            }
        };
    }

    private void onConnected(HttpClientRequest request) {
        if (mEnded) {
            ClientCodec.discard(request);
            return;
        }
        if (!mContext.state().targets().isReady(mTarget)) {
            ClientCodec.discard(request);
            endNotExecuted(false, "the target was no longer ready when the request was to be sent");
            return;
        }
        if (isPromptQuarantined()) {
            ClientCodec.discard(request);
            endNotExecuted(false, "targets ended under a part of the prompt");
            return;
        }
        if (!mListener.maySend()) {
            ClientCodec.discard(request);
            endNotExecuted(false, "the sender does not know whether the request is still wanted");
            return;
        }
        mRequest = request;
        mFirstOnConnection = mContext.targetClient().recordUse(request);
        mSent = true;
        mListener.onSent();
        if (mEnded) {
            return;
        }
        mIdleTimeout.restart();
        request.exceptionHandler(e -> endDisconnected("connection failed: " + e.getMessage()));
        request.response().onSuccess(guarded(this::onResponseHead)).onFailure(this::onNoResponse);
        request.end(mPlan.body());
    }

    private void onNoResponse(Throwable cause) {
        if (cause instanceof ClientCodec.ForeignBytesException) {
            endInterrupted("no response of its own: " + cause.getMessage());
        } else {
            endDisconnected("no response: " + cause);
        }
    }

    private boolean isPromptQuarantined() {
        CallHead head = mPlan.head();
        return mContext.promptGuard().blocking(mTarget.service(), head.prompt(), head.id()) != null;
    }

    private void onIdle() {
        mContext.connector().recordUnresponsive();
        if (mListener.onSilence()) {
            endInterrupted("no data received for " + mPlan.idleTimeoutMs() + " ms");
        }
    }

    private void onResponseHead(HttpClientResponse response) {
        if (mEnded) {
            return;
        }
        mResponse = response;
        mIdleTimeout.recordProgress();
        response.exceptionHandler(
                e -> endDisconnected("response was interrupted: " + e.getMessage()));
        if (!ResponseBody.hasFinalStatus(response)) {
            endInterrupted("status " + response.statusCode() + " is not that of an answer");
            return;
        }
        ResponseHead head = mContext.protocol().readResponseHead(response);
        if (!isResponseToRequest(head)) {
            endInterrupted(
                    "response belongs to another request, id "
                            + head.requestId()
                            + " status "
                            + head.status());
            return;
        }
        if (head.status() != MISDIRECTED) {
            mContext.loads().recordLimit(mTarget, head.requestLimitPerS());
            mContext.loads().recordPace(mTarget, head.pace());
            recordLeaving(head);
        }
        if (head.notExecuted() || head.status() == MISDIRECTED) {
            endNotExecuted(
                    head.status() == MISDIRECTED,
                    "target did not run the request, status " + head.status());
            return;
        }
        if (NOT_EXECUTED_STATUSES.contains(head.status())) {
            endInterrupted("status " + head.status() + " does not state whether the request ran");
            return;
        }
        if (head.isSuccess() && (!head.authentic() || head.encoded())) {
            endInterrupted("response is unsigned or its body is encoded");
            return;
        }
        if (TunnelClient.isTunnelled(response.request()) && !ResponseBody.isFramed(response)) {
            endInterrupted("the end of the response cannot be told from that of the peer");
            return;
        }
        if (head.streamed() && head.isSuccess()) {
            readStream(response, head);
        } else {
            ResponseBody.read(
                            response,
                            mContext.targetClient().responseMemory(),
                            mIdleTimeout::recordProgress)
                    .onSuccess(guarded(body -> onBody(head, body)))
                    .onFailure(e -> endDisconnected("cut: " + e));
        }
    }

    private void recordLeaving(ResponseHead head) {
        if (head.leaving() && mContext.state().recordLeaving(mTarget)) {
            LOG.info(
                    "step=target target={} request={} status={} outcome=leaving",
                    mTarget.incarnation(),
                    mPlan.head().id(),
                    head.status());
        }
    }

    private boolean isResponseToRequest(ResponseHead head) {
        if (head.requestId() != null) {
            return head.requestId().equals(mPlan.head().id());
        }
        boolean isRefusal = head.notExecuted() || head.status() == MISDIRECTED;
        return isRefusal && mFirstOnConnection;
    }

    private void readStream(HttpClientResponse response, ResponseHead head) {
        response.handler(guarded(this::onStreamBytes));
        response.endHandler(guarded(v -> onStreamEnd()));
        mListener.onStreamStarted(head);
    }

    private void onStreamBytes(Buffer chunk) {
        if (mEnded) {
            return;
        }
        mIdleTimeout.recordProgress();
        if (!mParser.accept(chunk)) {
            endInterrupted("event, with the lines before it, exceeds the size limit");
            return;
        }
        if (!mEnded) {
            mEventMemory.resize(mParser.bufferedBytes());
        }
    }

    private void onParsedEvent(StreamEvent event) {
        if (mEnded) {
            return;
        }
        long id = EventIds.parse(event.id());
        if (id != mLastEventId + 1) {
            endInterrupted("event " + event.id() + " does not follow event " + mLastEventId);
            return;
        }
        mLastEventId = id;
        mEventCount++;
        mEventIntervals.recordEvent(mIdleTimeout.lastProgressAt());
        mListener.onEvent(event, id);
    }

    private void onParsedComment(Buffer lines) {
        if (!mEnded) {
            mListener.onComment(lines);
        }
    }

    private void onStreamEnd() {
        if (mEnded) {
            return;
        }
        if (mParser.hasPartialEvent()) {
            endInterrupted("stream ended within an event");
            return;
        }
        end();
        recordSuccess();
        mListener.onStreamEnded();
    }

    private void onBody(ResponseHead head, Buffer body) {
        if (mEnded) {
            return;
        }
        end();
        if (head.isSuccess()) {
            recordSuccess();
        }
        mListener.onResponse(head, body);
    }

    private void endNotExecuted(boolean targetFailing, String reason) {
        if (mEnded) {
            return;
        }
        boolean wasSent = mSent;
        HttpClientResponse response = mResponse;
        if (response != null) {
            ResponseBody.discard(vertx(), response);
        }
        end();
        if (targetFailing) {
            mLoad.recordFailure(ticker().nanoTime());
        }
        mListener.onNotExecuted(wasSent, reason);
    }

    private void recordSuccess() {
        mLoad.recordSuccess();
        mContext.promptGuard().recordSuccess(mTarget.service(), mPlan.head().prompt());
    }

    /** Ends the attempt because the target closed the connection, perhaps since it has ended. */
    private void endDisconnected(String reason) {
        if (mEnded) {
            return;
        }
        mContext.connector().recordUnresponsive();
        if (mContext.state().targets().isReady(mTarget) && isFailureOfTarget()) {
            LostTarget lost =
                    new LostTarget(mTarget.service(), mTarget.incarnation(), mTarget.address());
            mContext.promptGuard().recordLostRun(lost, mPlan.head().prompt(), mEventCount);
        }
        endInterrupted(reason);
    }

    private void endInterrupted(String reason) {
        if (mEnded) {
            return;
        }
        end();
        if (isFailureOfTarget()) {
            mLoad.recordFailure(ticker().nanoTime());
        }
        resetRequest();
        mListener.onInterrupted(reason);
    }

    private boolean isFailureOfTarget() {
        HttpClientRequest request = mRequest;
        return request == null || mContext.connector().isFailureOfTarget(request);
    }

    /** Ends the attempt as interrupted, because the target has exceeded its budget. */
    public void interrupt() {
        endInterrupted("not complete within " + mPlan.budgetMs() + " ms");
    }

    /**
     * Ends the attempt without notifying the listener. The target drops the request when its
     * connection closes.
     */
    public void cancel() {
        if (mEnded) {
            return;
        }
        end();
        resetRequest();
    }

    /** Starts the idle timeout of an attempt whose target is silent anew. */
    void awaitAgain() {
        mIdleTimeout.restart();
    }

    /** Cancels an attempt whose target is silent, and records that silence. */
    void cancelSilent() {
        if (mEnded) {
            return;
        }
        if (isFailureOfTarget()) {
            long now = ticker().nanoTime();
            mLoad.recordSilence(now, now - mIdleTimeout.lastProgressAt());
        }
        cancel();
    }

    private void resetRequest() {
        HttpClientRequest request = mRequest;
        if (request != null) {
            request.reset();
        }
    }

    /** Pauses or resumes reading from the target. */
    public void setPaused(boolean paused) {
        HttpClientResponse response = mResponse;
        if (response == null || mEnded) {
            return;
        }
        mIdleTimeout.setSuspended(paused);
        if (paused) {
            mEventIntervals.recordPause();
            response.pause();
        } else {
            response.resume();
        }
    }

    private void end() {
        mEnded = true;
        mEventMemory.release();
        mEventIntervals.meanMs().ifPresent(mLoad::recordEventInterval);
        mContext.loads().recordEnd(mTarget, mPlan.batch());
        mIdleTimeout.cancel();
    }

    private Vertx vertx() {
        return mContext.vertx();
    }

    private Ticker ticker() {
        return mContext.ticker();
    }
}
