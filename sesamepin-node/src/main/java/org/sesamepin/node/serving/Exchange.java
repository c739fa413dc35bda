package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.call.CallPolicy;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.stream.Finding;
import org.sesamepin.core.stream.TakeUp;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.StreamEvent;
import org.sesamepin.node.prompt.QuarantineProblems;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One online call after its admission: sends it to targets as {@link CallPolicy} decides and
 * forwards the response to the caller. The policy makes all decisions except which target is next.
 * Confined to the event loop.
 */
final class Exchange implements CallAttempts.Call {
    private static final Logger LOG = LoggerFactory.getLogger(Exchange.class);

    private static final long MIN_BUDGET_MS = 5;

    private final ServingContext mContext;
    private final HttpServerResponse mResponse;
    private final CallerResponse mCaller;
    private final CallHead mHead;
    private final Buffer mBody;
    private final RequestSize mSize;
    private final ServingRoute mRoute;
    private final @Nullable String mCustomer;
    private final int mRank;
    private final long mArrivedAt;
    private final CallPolicy mPolicy;
    private final Runnable mOnEnd;
    private final Set<String> mTriedTargets = new HashSet<>();
    private String mService;

    /** Version of the software that began the stream; null while any target may begin it. */
    private @Nullable String mVersion;

    /** How the version of a stream that the caller takes up is known; null for a new stream. */
    private @Nullable String mTakeUpSource;

    /** Id of the caller's attempt that brought the first event; null when it is unknown. */
    private @Nullable String mStreamId;

    private final CallAttempts mAttempts;
    private @Nullable ResponseHead mStreamHead;
    private long mLastEventId;
    private long mDeadlineTimer = -1;
    private long mFirstByteMs = -1;
    private long mRetryAfterMs;
    private PromptQuarantine.@Nullable Entry mQuarantine;
    private boolean mEnded;

    Exchange(
            ServingContext context,
            HttpServerRequest request,
            CallHead head,
            Buffer body,
            ServingRoute route,
            @Nullable CustomerSpec customer,
            long arrivedAt,
            Runnable onEnd) {
        mContext = context;
        mResponse = request.response();
        mCaller = new CallerResponse(context, mResponse);
        mHead = head;
        mBody = body;
        mSize = context.protocol().requestSize(head.forwardedHeaders());
        mRoute = route;
        mCustomer = customer == null ? null : customer.name();
        Integer rank = customer == null ? null : customer.rank();
        mRank = rank == null ? route.rank() : rank;
        mArrivedAt = arrivedAt;
        mOnEnd = onEnd;
        mService = route.selectService(ThreadLocalRandom.current().nextDouble());
        mStreamId = head.id();
        long budget = CallLimits.budgetMs(head, route);
        long deadline = arrivedAt + TimeUnit.MILLISECONDS.toNanos(budget);
        mPolicy = new CallPolicy(route.kind(), route.maxAttempts(), deadline);
        mAttempts = new CallAttempts(context, head.id(), mPolicy, this);
    }

    /** Starts the call: sets the deadline and sends the request to a first target. */
    void start() {
        run(this::begin);
    }

    private void begin() {
        mResponse.closeHandler(v -> onCallerDisconnected());
        mResponse.exceptionHandler(e -> onCallerDisconnected());
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(mPolicy.remainingNanos(now()));
        mDeadlineTimer =
                mContext.vertx().setTimer(Math.max(1, remainingMs), t -> run(this::onDeadline));
        String resumeAfter = mHead.resumeAfter();
        if (resumeAfter != null && mRoute.kind() == RouteKind.RESUMABLE_STREAM) {
            mLastEventId = Math.max(0, EventIds.parse(resumeAfter));
        }
        if (mLastEventId > 0) {
            takeUp();
        } else {
            placeAndSend();
        }
    }

    /** Goes on with a stream that began in another answer, at the software that began it. */
    private void takeUp() {
        mStreamId = mHead.resumes();
        mTakeUpSource = Finding.Source.STORE_SILENT.label();
        mContext.streamOrigins()
                .find(new TakeUp(mStreamId, mCustomer, mRoute.services()))
                .onSuccess(finding -> run(() -> onOrigin(finding)));
    }

    private void onOrigin(Finding finding) {
        if (mEnded) {
            return;
        }
        mTakeUpSource = finding.source().label();
        TargetSoftware software = finding.software();
        if (software != null) {
            mService = software.service();
            mVersion = software.version();
        }
        LOG.info(
                "step=take-up request={} route={} resumes={} after_event={} service={} version={}"
                        + " source={}",
                mHead.id(),
                mRoute.name(),
                mStreamId,
                mLastEventId,
                mService,
                mVersion,
                mTakeUpSource);
        if (mVersion == null) {
            apply(mPolicy.onNoTarget(), "unknown version of the stream: " + mTakeUpSource);
            return;
        }
        placeAndSend();
    }

    /** Runs a step of the call; a failure that the step does not expect ends the call. */
    private void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("step=call request={} outcome=unexpected-failure", mHead.id(), e);
            endAfterFailure(e);
        }
    }

    private void endAfterFailure(RuntimeException e) {
        if (mEnded) {
            return;
        }
        mAttempts.cancel();
        if (mResponse.ended()) {
            finish("served", "unexpected failure");
            return;
        }
        if (mResponse.headWritten()) {
            abortResponse("unexpected failure");
            return;
        }
        mResponse.headers().clear();
        sendProblem(Problem.of(e));
    }

    private void placeAndSend() {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(mPolicy.remainingNanos(now()));
        if (remainingMs < MIN_BUDGET_MS) {
            apply(mPolicy.onTimeout(), "no time remaining for an attempt");
            return;
        }
        mQuarantine = mContext.promptGuard().blocking(mService, mHead.prompt(), mHead.id());
        if (mQuarantine != null) {
            apply(mPolicy.onNoTarget(), "targets ended under " + mQuarantine.suspect().label());
            return;
        }
        if (mVersion != null && !hasTargetOfVersion()) {
            apply(mPolicy.onNoTarget(), "no target of the stream's version " + mVersion);
            return;
        }
        PlacementRequest request =
                new PlacementRequest(
                        mHead.id(),
                        mService,
                        mRank,
                        CallLimits.isRetry(mHead, mRoute),
                        mRoute.latencyObjectiveMs(),
                        remainingMs,
                        Set.copyOf(mTriedTargets),
                        mVersion,
                        mRoute.name(),
                        mSize);
        int withdrawals = mAttempts.withdrawals();
        mContext.placementClient()
                .place(request)
                .onComplete(placed -> run(() -> onPlacement(placed.result(), withdrawals)));
    }

    /** Returns whether a target could go on with the stream that was not tried before. */
    private boolean hasTargetOfVersion() {
        return mContext.state().targets().readyTargets(mService, mVersion).stream()
                .anyMatch(target -> !mTriedTargets.contains(target.incarnation()));
    }

    private void onPlacement(PlacementResult placement, int withdrawals) {
        TargetInstance target = placement.target();
        if (mEnded || withdrawals != mAttempts.withdrawals()) {
            mContext.placementClient().recordUnused(placement);
            return;
        }
        if (target == null) {
            mRetryAfterMs = placement.retryAfterMs();
            apply(mPolicy.onNoTarget(), noTargetReason(placement));
            return;
        }
        sendTo(target, placement);
    }

    private String noTargetReason(PlacementResult placement) {
        String version = mVersion == null ? "" : " of the stream's version " + mVersion;
        return "no target" + version + " available, decided by " + placement.decider();
    }

    private void sendTo(TargetInstance target, PlacementResult placement) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(mPolicy.remainingNanos(now()));
        boolean isNewTarget = mTriedTargets.add(target.incarnation());
        String resumeAfter = mLastEventId > 0 ? Long.toString(mLastEventId) : null;
        LOG.info(
                "step=place request={} route={} customer={} service={} target={} version={}"
                        + " occupancy={} decider={} budget_ms={} prompt_parts={} resume_after={}"
                        + " config_version={}",
                mHead.id(),
                mRoute.name(),
                mCustomer,
                mService,
                target.incarnation(),
                target.version(),
                placement.occupancy(),
                placement.decider(),
                remainingMs,
                mHead.prompt().label(),
                resumeAfter,
                mContext.state().config().version());
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        mHead,
                        mBody,
                        mCustomer,
                        remainingMs,
                        resumeAfter,
                        false,
                        !isNewTarget || !mRoute.kind().mayRepeat(),
                        CallLimits.idleTimeoutMs(mRoute, remainingMs));
        mAttempts.start(
                target, plan, () -> isReplaced(target), () -> recordStart(target.software()));
    }

    private boolean isReplaced(TargetInstance target) {
        return mRoute.kind() == RouteKind.RESUMABLE_STREAM
                && mContext.state().targets().isReplaced(target);
    }

    /** Records where the stream began, before any event of this answer is forwarded. */
    private Future<Void> recordStart(TargetSoftware software) {
        String streamId = mStreamId;
        boolean mayBeTakenUp = mRoute.kind() == RouteKind.RESUMABLE_STREAM;
        if (streamId == null || !mayBeTakenUp || mPolicy.hasForwarded()) {
            return Future.succeededFuture();
        }
        return mContext.streamOrigins().record(streamId, mCustomer, software, () -> mEnded);
    }

    @Override
    public void onSent() {
        mPolicy.recordSend();
    }

    /** Keeps the head of the first run of which events are forwarded; later runs continue it. */
    @Override
    public void onStreamStarted(ResponseHead head) {
        if (!mPolicy.hasForwarded()) {
            mStreamHead = head;
        }
    }

    @Override
    public void onEvent(StreamEvent event, long eventId) {
        TargetAttempt attempt = mAttempts.current();
        if (mEnded || attempt == null) {
            return;
        }
        mLastEventId = eventId;
        mVersion = attempt.target().version();
        writeHeadOnce();
        mCaller.writePart(event.bytes(), attempt);
    }

    @Override
    public void onComment(Buffer lines) {
        TargetAttempt attempt = mAttempts.current();
        if (!mEnded && attempt != null) {
            mCaller.writePart(lines, attempt);
        }
    }

    private void writeHeadOnce() {
        ResponseHead head = mStreamHead;
        if (mPolicy.hasForwarded() || head == null) {
            return;
        }
        mPolicy.recordForwarded();
        recordFirstByte();
        mCaller.startStream(head);
    }

    private void recordFirstByte() {
        long nanos = now() - mArrivedAt;
        mFirstByteMs = TimeUnit.NANOSECONDS.toMillis(nanos);
        mContext.metrics().observeTimeToFirstByte(mRoute.name(), nanos);
    }

    @Override
    public void onStreamEnded() {
        run(this::endStream);
    }

    private void endStream() {
        if (mEnded) {
            return;
        }
        writeHeadOnce();
        mResponse.end();
        mAttempts.recordServed(mService, mRoute.name(), mSize);
        finish("served", "events=" + mLastEventId);
    }

    @Override
    public void onResponse(ResponseHead head, Buffer body) {
        run(() -> forward(head, body));
    }

    private void forward(ResponseHead head, Buffer body) {
        if (mEnded) {
            return;
        }
        if (mPolicy.hasForwarded()) {
            onInterrupted(
                    "the target that was to continue the stream replied with status "
                            + head.status());
            return;
        }
        recordFirstByte();
        mCaller.writeWhole(head, body);
        finish(head.isSuccess() ? "served" : "target-status-" + head.status(), "");
    }

    @Override
    public void onNotExecuted(boolean wasSent, String reason) {
        mContext.metrics().countFailedAttempt(mService, "refused");
        run(() -> apply(mPolicy.onNotExecuted(wasSent, now()), reason));
    }

    @Override
    public void onNoPath(String reason) {
        run(() -> apply(mPolicy.onNoTarget(), reason));
    }

    @Override
    public void sendBesideSilent() {
        run(this::placeAndSend);
    }

    @Override
    public void withdrawPlacement() {
        mContext.placementClient().withdraw(mHead.id(), mService);
    }

    @Override
    public void onInterrupted(String reason) {
        mContext.metrics().countFailedAttempt(mService, "broken");
        run(() -> apply(mPolicy.onAttemptFailed(now()), reason));
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        mAttempts.cancel();
        apply(mPolicy.onTimeout(), "deadline");
    }

    private void apply(CallPolicy.NextAction decision, String reason) {
        if (mEnded) {
            return;
        }
        TargetAttempt attempt = mAttempts.current();
        LOG.info(
                "step=decide request={} target={} next={} may_have_run={} passed_on={}"
                        + " events={} cause=\"{}\"",
                mHead.id(),
                attempt == null ? "-" : attempt.target().incarnation(),
                decision,
                mPolicy.mayHaveRun(),
                mPolicy.hasForwarded(),
                mLastEventId,
                reason);
        if (mAttempts.hasSilent() && !decision.isAttempt()) {
            mAttempts.awaitSilent();
            return;
        }
        switch (decision) {
            case SEND, RESUME -> placeAndSend();
            case REFUSE -> sendNoTarget(reason);
            case FAIL -> sendProblem(CallProblems.targetFailed(mService, reason));
            case TIME_OUT -> sendProblem(CallProblems.targetTimeout(mService, reason));
            case BREAK_OFF -> abortResponse(reason);
        }
    }

    private void sendNoTarget(String reason) {
        PromptQuarantine.Entry quarantine = mQuarantine;
        sendProblem(
                quarantine == null
                        ? CallProblems.noTarget(mService, reason, mRetryAfterMs)
                        : QuarantineProblems.notRun(mService, quarantine));
    }

    private void sendProblem(Problem problem) {
        mCaller.writeProblem(problem, mHead.id());
        finish(problem.type().label(), "status=" + problem.type().status());
    }

    private void abortResponse(String reason) {
        finish("broken-off", reason);
        mResponse.reset();
    }

    private void onCallerDisconnected() {
        if (mEnded) {
            return;
        }
        finish("caller-left", "");
    }

    private void finish(String outcome, String detail) {
        mEnded = true;
        mAttempts.cancel();
        withdrawPlacement();
        mContext.vertx().cancelTimer(mDeadlineTimer);
        mContext.metrics().countRequest(mRoute.name(), outcome);
        if (mTakeUpSource != null) {
            mContext.metrics().countTakeUp(mTakeUpSource, outcome);
        }
        LOG.info(
                "step=end request={} route={} outcome={} first_ms={} ms={} {}",
                mHead.id(),
                mRoute.name(),
                outcome,
                mFirstByteMs,
                TimeUnit.NANOSECONDS.toMillis(now() - mArrivedAt),
                detail);
        mOnEnd.run();
    }

    private long now() {
        return mContext.ticker().nanoTime();
    }
}
