package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.StreamEvent;
import org.sesamepin.node.serving.AttemptListener;
import org.sesamepin.node.serving.CallHead;
import org.sesamepin.node.serving.ResponseHead;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.serving.StreamEventGate;
import org.sesamepin.node.serving.TargetAttempt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One run of a batch item at one target; records events and the end in the job's progress. */
final class ItemRun implements AttemptListener {
    private static final Logger LOG = LoggerFactory.getLogger(ItemRun.class);
    private static final long ITEM_BUDGET_MS = TimeUnit.SECONDS.toMillis(20);
    private static final long MAX_SILENCE_MS = 2_000;

    /** Time beyond the budget in which the end that the target makes of a run may arrive. */
    private static final long BUDGET_MARGIN_MS = 1_000;

    /** Interval at which the time for which a target has answered an item is recorded. */
    private static final long ANSWER_RECORD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long NO_TIMER = -1;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int UNPROCESSABLE_CONTENT = 422;

    private final ServingContext mContext;
    private final OwnedJob mJob;
    private final int mIndex;
    private final ServingRoute mRoute;
    private final TargetInstance mTarget;
    private final ItemRunTimes mRunTimes;
    private final CancellationView mCancellations;
    private final Runnable mOnEnd;
    private final TargetAttempt mAttempt;
    private final PromptParts mPrompt;
    private final long mResumeAfter;
    private boolean mHasEvent;
    private long mFirstEventAt;
    private long mNextRecordNanos = ANSWER_RECORD_NANOS;
    private long mBudgetTimer = NO_TIMER;

    /** Creates a run; {@code onEnd} is called when it ends, unless by {@link #suspend}. */
    ItemRun(
            ServingContext context,
            OwnedJob job,
            int index,
            ServingRoute route,
            TargetInstance target,
            ItemRunTimes runTimes,
            CancellationView cancellations,
            Runnable onEnd) {
        mContext = context;
        mJob = job;
        mIndex = index;
        mRoute = route;
        mTarget = target;
        mRunTimes = runTimes;
        mCancellations = cancellations;
        mOnEnd = onEnd;
        JobItem item = job.progress().item(index);
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(item.headers());
        int query = item.path().indexOf('?');
        String path = query < 0 ? item.path() : item.path().substring(0, query);
        CallHead head =
                new CallHead(
                        item.id(),
                        HttpMethod.POST,
                        route.host(),
                        path,
                        item.path(),
                        null,
                        0,
                        null,
                        null,
                        headers,
                        promptOf(context, item));
        mResumeAfter = job.progress().lastEventId(index, target.software());
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        head,
                        Buffer.buffer(item.body()),
                        job.summary().customer(),
                        ITEM_BUDGET_MS,
                        mResumeAfter > 0 ? Long.toString(mResumeAfter) : null,
                        true,
                        !job.recordTarget(index, target.incarnation()),
                        MAX_SILENCE_MS);
        mPrompt = head.prompt();
        StreamEventGate gate =
                new StreamEventGate(
                        this,
                        () -> context.state().targets().isReplaced(target),
                        Future::succeededFuture);
        mAttempt = new TargetAttempt(context, target, plan, gate);
        gate.setAttempt(mAttempt);
    }

    /** Returns the parts of an item's prompt; the item itself is one of them. */
    static PromptParts promptOf(ServingContext context, JobItem item) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(item.headers());
        return context.protocol().promptParts(headers).withItem(item.id());
    }

    TargetInstance target() {
        return mTarget;
    }

    /** Returns the id of the last event received for the item; 0 when there is none. */
    long lastEventId() {
        return progress().lastEventId(mIndex);
    }

    void start() {
        progress().recordStart(mIndex, mContext.ticker().nanoTime());
        mJob.runs().put(mIndex, this);
        LOG.info(
                "step=place request={} job={} route={} customer={} target={} version={}"
                        + " prompt_parts={} resume_after={} held_events={} config_version={}"
                        + " cancellations_age_ms={}",
                itemId(),
                mJob.id(),
                mRoute.name(),
                mJob.summary().customer(),
                mTarget.incarnation(),
                mTarget.version(),
                mPrompt.label(),
                mResumeAfter,
                progress().lastEventId(mIndex),
                mContext.state().config().version(),
                mCancellations.ageMs());
        mBudgetTimer =
                mContext.vertx()
                        .setTimer(ITEM_BUDGET_MS + BUDGET_MARGIN_MS, t -> mAttempt.interrupt());
        mAttempt.start();
    }

    /** Cancels the run; the item stays open and can resume after its last event. */
    void suspend() {
        mAttempt.cancel();
        mContext.vertx().cancelTimer(mBudgetTimer);
        mJob.runs().remove(mIndex);
        long now = mContext.ticker().nanoTime();
        progress().recordSuspension(mIndex, now);
        long answeredNanos = mHasEvent ? now - mFirstEventAt : 0;
        mContext.promptGuard().recordPreemption(mTarget.service(), mPrompt, answeredNanos);
        recordRunOver();
        mContext.metrics().countItem("suspended");
        LOG.info(
                "step=item request={} job={} target={} outcome=suspended after_event={}",
                itemId(),
                mJob.id(),
                mTarget.incarnation(),
                progress().lastEventId(mIndex));
    }

    private JobProgress progress() {
        return mJob.progress();
    }

    private String itemId() {
        return progress().item(mIndex).id();
    }

    @Override
    public boolean maySend() {
        return mCancellations.allowsSending(mJob.id());
    }

    @Override
    public void onSent() {
        mContext.promptGuard().recordItemSent(mTarget.service(), mTarget.incarnation(), mPrompt);
    }

    @Override
    public void onStreamStarted(ResponseHead head) {}

    @Override
    public void onEvent(StreamEvent event, long id) {
        recordAnswerTime();
        if (id == mResumeAfter + 1) {
            progress().recordStreamStart(mIndex, mTarget.software());
        }
        progress().appendEvent(mIndex, id, event.data());
    }

    private void recordAnswerTime() {
        long now = mContext.ticker().nanoTime();
        if (!mHasEvent) {
            mHasEvent = true;
            mFirstEventAt = now;
        }
        long answeredNanos = now - mFirstEventAt;
        if (answeredNanos >= mNextRecordNanos) {
            mNextRecordNanos = answeredNanos + ANSWER_RECORD_NANOS;
            mContext.promptGuard().recordLongAnswer(mTarget.service(), mPrompt, answeredNanos);
        }
    }

    @Override
    public void onStreamEnded() {
        progress().recordStreamStart(mIndex, mTarget.software());
        long nanos = mContext.ticker().nanoTime() - progress().firstStartedAt(mIndex);
        double runMs = (double) nanos / TimeUnit.MILLISECONDS.toNanos(1);
        mRunTimes.recordCompletion(mRoute.name(), lastEventId(), runMs);
        progress().recordCompletion(mIndex);
        finish("done", "");
    }

    @Override
    public void onResponse(ResponseHead head, Buffer body) {
        long nowNanos = mContext.ticker().nanoTime();
        if (head.status() == UNPROCESSABLE_CONTENT) {
            progress().failPermanently(mIndex);
        } else if (head.status() == INTERNAL_SERVER_ERROR) {
            progress().recordFailure(mIndex, Math.max(1, mRoute.maxAttempts()), nowNanos);
        } else {
            progress().recordInterruption(mIndex, nowNanos);
        }
        finish("status-" + head.status(), "");
    }

    @Override
    public void onNotExecuted(boolean wasSent, String reason) {
        progress().recordInterruption(mIndex, mContext.ticker().nanoTime());
        finish("refused", reason);
    }

    @Override
    public void onInterrupted(String reason) {
        progress().recordBrokenRun(mIndex, mContext.ticker().nanoTime());
        finish("broken", reason);
    }

    private void recordRunOver() {
        mContext.promptGuard().recordItemRunOver(mTarget.service(), mTarget.incarnation(), mPrompt);
    }

    private void finish(String outcome, String cause) {
        recordRunOver();
        mContext.vertx().cancelTimer(mBudgetTimer);
        mJob.runs().remove(mIndex);
        mContext.metrics().countItem(outcome);
        LOG.info(
                "step=item request={} job={} target={} outcome={} after_event={} cause=\"{}\"",
                itemId(),
                mJob.id(),
                mTarget.incarnation(),
                outcome,
                progress().lastEventId(mIndex),
                cause);
        mOnEnd.run();
    }
}
