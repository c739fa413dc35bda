package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.call.CallPolicy;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One online call that was admitted: sends it to targets as {@link CallPolicy} decides and passes
 * the answer on. Decides nothing itself but which target is next. Confined to the event loop.
 */
final class Exchange implements TargetAttempt.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Exchange.class);

    private static final double FIRST_BUDGET_PART = 0.95;
    private static final long MIN_BUDGET_MS = 5;
    private static final long MIN_RETRY_MS = 150;
    private static final long RETRY_SPREAD_MS = 700;
    private static final long MIN_SILENCE_MS = 400;
    private static final int SILENT_GAPS = 3;

    private final ServingContext mNode;
    private final HttpServerResponse mResponse;
    private final CallHead mHead;
    private final Buffer mBody;
    private final ServingRoute mRoute;
    private final String mService;
    private final @Nullable String mCustomer;
    private final int mRank;
    private final long mArrivedAt;
    private final CallPolicy mPolicy;
    private final Runnable mOnEnd;
    private final Set<String> mTried = new HashSet<>();
    private @Nullable TargetAttempt mAttempt;
    private @Nullable ResponseHead mStreamHead;
    private long mLastEventId;
    private long mDeadlineTimer = -1;
    private long mFirstMs = -1;
    private long mSentAt;
    private long mRetryAfterMs;
    private boolean mEnded;

    Exchange(
            ServingContext node,
            HttpServerRequest request,
            CallHead head,
            Buffer body,
            ServingRoute route,
            @Nullable CustomerSpec customer,
            long arrivedAt,
            Runnable onEnd) {
        mNode = node;
        mResponse = request.response();
        mHead = head;
        mBody = body;
        mRoute = route;
        mCustomer = customer == null ? null : customer.name();
        Integer rank = customer == null ? null : customer.rank();
        mRank = rank == null ? route.rank() : rank;
        mArrivedAt = arrivedAt;
        mOnEnd = onEnd;
        mService = route.selectService(ThreadLocalRandom.current().nextDouble());
        long budget = budgetMs(head, route);
        long deadline = arrivedAt + TimeUnit.MILLISECONDS.toNanos(budget);
        mPolicy = new CallPolicy(route.kind(), route.maxAttempts(), deadline);
    }

    private static long budgetMs(CallHead head, ServingRoute route) {
        long budget = head.budgetMs() > 0 ? head.budgetMs() : Long.MAX_VALUE;
        long limit = route.timeoutMs() > 0 ? route.timeoutMs() : Long.MAX_VALUE;
        return Math.min(TimeUnit.HOURS.toMillis(1), Math.min(budget, limit));
    }

    /** Starts the call. */
    void start() {
        mResponse.closeHandler(v -> callerLeft());
        mResponse.exceptionHandler(e -> callerLeft());
        long left = TimeUnit.NANOSECONDS.toMillis(mPolicy.remainingNanos(now()));
        mDeadlineTimer = mNode.vertx().setTimer(Math.max(1, left), t -> deadline());
        String resumeAfter = mHead.resumeAfter();
        if (resumeAfter != null && mRoute.kind() == RouteKind.RESUMABLE_STREAM) {
            mLastEventId = Math.max(0, EventIds.parse(resumeAfter));
        }
        send();
    }

    private void send() {
        long left = TimeUnit.NANOSECONDS.toMillis(mPolicy.remainingNanos(now()));
        if (left < MIN_BUDGET_MS) {
            act(mPolicy.onTimeout(), "no time left");
            return;
        }
        PlaceRequest request =
                new PlaceRequest(
                        mHead.id(),
                        mService,
                        mRank,
                        hasReturned(),
                        mRoute.latencyObjectiveMs(),
                        left,
                        Set.copyOf(mTried));
        mNode.placementClient().place(request).onComplete(done -> placed(done.result()));
    }

    /** A caller that was refused comes back with less time than the route gives. */
    private boolean hasReturned() {
        return mHead.budgetMs() > 0 && mHead.budgetMs() < mRoute.timeoutMs() * FIRST_BUDGET_PART;
    }

    private void placed(PlaceResult place) {
        if (mEnded) {
            return;
        }
        TargetInstance target = place.target();
        if (target == null) {
            mRetryAfterMs = place.retryAfterMs();
            act(mPolicy.onNoTarget(), "no place, said " + place.decider());
            return;
        }
        sendTo(target, place);
    }

    private void sendTo(TargetInstance target, PlaceResult place) {
        mSentAt = now();
        long left = TimeUnit.NANOSECONDS.toMillis(mPolicy.remainingNanos(mSentAt));
        mTried.add(target.incarnation());
        String resumeAfter = mLastEventId > 0 ? Long.toString(mLastEventId) : null;
        LOG.info(
                "step=place request={} route={} customer={} service={} target={} occupancy={}"
                        + " decider={} budget_ms={} resume_after={} config_version={}",
                mHead.id(),
                mRoute.name(),
                mCustomer,
                mService,
                target.incarnation(),
                place.occupancy(),
                place.decider(),
                left,
                resumeAfter,
                mNode.state().config().version());
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        mHead,
                        mBody,
                        mCustomer,
                        left,
                        resumeAfter,
                        false,
                        mRoute.kind().mayRepeat(),
                        silenceMs());
        TargetAttempt attempt = new TargetAttempt(mNode, target, plan, this);
        mAttempt = attempt;
        attempt.start();
    }

    /** A target's silence ends an attempt only where another target could go on. */
    private long silenceMs() {
        if (!mRoute.kind().mayRepeat() || mRoute.maxAttempts() < 2) {
            return 0;
        }
        long gap = Math.max(mRoute.latencyObjectiveMs(), mRoute.maxEventIntervalMs());
        return Math.max(MIN_SILENCE_MS, gap * SILENT_GAPS);
    }

    @Override
    public void onSent() {
        mPolicy.recordSend();
    }

    @Override
    public void onStreamStarted(ResponseHead head) {
        if (mStreamHead == null) {
            mStreamHead = head;
        }
    }

    @Override
    public void onEvent(Buffer event, long id) {
        mLastEventId = id;
        writeHeadOnce();
        mResponse.write(event);
        TargetAttempt attempt = mAttempt;
        if (mResponse.writeQueueFull() && attempt != null) {
            attempt.setPaused(true);
            mResponse.drainHandler(v -> attempt.setPaused(false));
        }
    }

    private void writeHeadOnce() {
        ResponseHead head = mStreamHead;
        if (mPolicy.hasForwarded() || head == null) {
            return;
        }
        mPolicy.recordForwarded();
        observeFirstPiece();
        writeHead(head);
        mResponse.setChunked(true);
    }

    private void observeFirstPiece() {
        long nanos = now() - mArrivedAt;
        mFirstMs = TimeUnit.NANOSECONDS.toMillis(nanos);
        mNode.metrics().firstPiece(mRoute.name(), nanos);
    }

    private void writeHead(ResponseHead head) {
        mResponse.setStatusCode(head.status());
        mResponse.headers().addAll(head.forwardedHeaders());
        closeWhenDraining();
    }

    private void closeWhenDraining() {
        if (mNode.state().isDraining()) {
            mResponse.putHeader("Connection", "close");
        }
    }

    @Override
    public void onStreamEnded() {
        writeHeadOnce();
        mResponse.end();
        mNode.placementClient().coordinator().observeService(mService, now() - mSentAt);
        finish("served", "events=" + mLastEventId);
    }

    @Override
    public void onResponse(ResponseHead head, Buffer body) {
        observeFirstPiece();
        if (mPolicy.hasForwarded()) {
            act(CallPolicy.NextAction.BREAK_OFF, "target answered " + head.status());
            return;
        }
        writeHead(head);
        mResponse.end(body);
        finish(head.isSuccess() ? "served" : "target-status-" + head.status(), "");
    }

    @Override
    public void onNotExecuted(boolean wasSent, String reason) {
        mNode.metrics().attempt(mService, "refused");
        act(mPolicy.onNotExecuted(wasSent, now()), reason);
    }

    @Override
    public void onInterrupted(String reason) {
        mNode.metrics().attempt(mService, "broken");
        act(mPolicy.onAttemptFailed(now()), reason);
    }

    private void deadline() {
        if (mEnded) {
            return;
        }
        cancelAttempt();
        act(mPolicy.onTimeout(), "deadline");
    }

    private void act(CallPolicy.NextAction next, String reason) {
        if (mEnded) {
            return;
        }
        TargetAttempt attempt = mAttempt;
        LOG.info(
                "step=decide request={} target={} next={} may_have_run={} passed_on={}"
                        + " cause=\"{}\"",
                mHead.id(),
                attempt == null ? "-" : attempt.target().incarnation(),
                next,
                mPolicy.mayHaveRun(),
                mPolicy.hasForwarded(),
                reason);
        switch (next) {
            case SEND, RESUME -> send();
            case REFUSE -> refuse(reason);
            case FAIL -> fail(ProblemType.TARGET_FAILED, reason);
            case TIME_OUT -> fail(ProblemType.TARGET_TIMEOUT, reason);
            case BREAK_OFF -> breakOff(reason);
        }
    }

    private void refuse(String reason) {
        long spread = ThreadLocalRandom.current().nextLong(RETRY_SPREAD_MS);
        long retry = Math.max(MIN_RETRY_MS, mRetryAfterMs) + spread;
        answer(
                new Problem(
                        ProblemType.NO_TARGET,
                        Step.ADMIT,
                        mService,
                        Execution.NOT_RUN,
                        reason,
                        retry,
                        null));
    }

    private void fail(ProblemType type, String reason) {
        Step step = Step.AWAIT_RESPONSE;
        answer(new Problem(type, step, mService, Execution.UNKNOWN, reason, 0, null));
    }

    private void answer(Problem problem) {
        closeWhenDraining();
        mNode.protocol().sendProblem(mResponse, problem, mHead.id());
        finish(problem.type().label(), "status=" + problem.type().status());
    }

    private void breakOff(String reason) {
        finish("broken-off", reason);
        mResponse.reset();
    }

    private void callerLeft() {
        if (mEnded) {
            return;
        }
        cancelAttempt();
        finish("caller-left", "");
    }

    private void cancelAttempt() {
        TargetAttempt attempt = mAttempt;
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void finish(String outcome, String detail) {
        mEnded = true;
        mNode.placementClient().withdraw(mHead.id(), mService);
        mNode.vertx().cancelTimer(mDeadlineTimer);
        mNode.metrics().answered(mRoute.name(), outcome);
        LOG.info(
                "step=end request={} route={} outcome={} first_ms={} ms={} {}",
                mHead.id(),
                mRoute.name(),
                outcome,
                mFirstMs,
                TimeUnit.NANOSECONDS.toMillis(now() - mArrivedAt),
                detail);
        mOnEnd.run();
    }

    private long now() {
        return mNode.ticker().nanoTime();
    }
}
