package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.call.CallPolicy;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.StreamEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The attempts of one call that are under way: one, or two while the earlier one is silent. A
 * silent attempt keeps the call until another target has begun to answer it, and goes on when its
 * own target sends again before that; the other attempt is cancelled at once. Confined to the event
 * loop.
 */
final class CallAttempts {
    /** The call that the attempts belong to; it is notified of the attempt that answers it. */
    interface Call extends AttemptListener {
        /** Sends the call to another target beside a silent one. */
        void sendBesideSilent();

        /** Withdraws the placement of an attempt that is no longer needed. */
        void withdrawPlacement();
    }

    private static final Logger LOG = LoggerFactory.getLogger(CallAttempts.class);

    /**
     * Longest time for which two targets may work on a call. A target that cannot run a request
     * refuses it sooner.
     */
    private static final long MAX_OVERLAP_MS = 300;

    private static final long NO_TIMER = -1;

    private final ServingContext mContext;
    private final String mRequestId;
    private final CallPolicy mPolicy;
    private final Call mCall;
    private @Nullable Run mCurrent;
    private @Nullable Run mSilent;
    private int mWithdrawals;
    private long mOverlapTimer = NO_TIMER;

    CallAttempts(ServingContext context, String requestId, CallPolicy policy, Call call) {
        mContext = context;
        mRequestId = requestId;
        mPolicy = policy;
        mCall = call;
    }

    /**
     * Starts an attempt, beside the silent one if there is one.
     *
     * @param replaced tells whether another target has registered in place of {@code target}
     * @param recordStart records which software writes the events
     */
    void start(
            TargetInstance target,
            TargetAttempt.Plan plan,
            BooleanSupplier replaced,
            Supplier<Future<Void>> recordStart) {
        Run run = new Run();
        StreamEventGate gate =
                new StreamEventGate(
                        run,
                        replaced,
                        () -> {
                            begin(run);
                            return recordStart.get();
                        });
        TargetAttempt attempt = new TargetAttempt(mContext, target, plan, gate);
        gate.setAttempt(attempt);
        run.mAttempt = attempt;
        mCurrent = run;
        attempt.start();
    }

    /** Returns the newest attempt; null before the first one. */
    @Nullable TargetAttempt current() {
        return mCurrent == null ? null : mCurrent.mAttempt;
    }

    /** Records that the newest attempt has brought the whole response. */
    void recordServed(String service, String route, RequestSize size) {
        Run run = mCurrent;
        TargetAttempt attempt = current();
        if (run != null && attempt != null) {
            long sentNanos = mContext.ticker().nanoTime() - run.mStartedAt;
            mContext.placementClient()
                    .recordEnded(service, route, size, attempt.target(), sentNanos);
        }
    }

    /** Returns the number of placements withdrawn; a placement asked for before is outdated. */
    int withdrawals() {
        return mWithdrawals;
    }

    /** Returns whether a silent attempt still keeps the call. */
    boolean hasSilent() {
        return mSilent != null;
    }

    /** Goes on with the silent attempt alone, since no other target answers the call. */
    void awaitSilent() {
        Run silent = mSilent;
        if (silent == null) {
            return;
        }
        mCurrent = silent;
        mSilent = null;
        cancelOverlapTimer();
        silent.attempt().awaitAgain();
    }

    /** Cancels all attempts. */
    void cancel() {
        cancelOverlapTimer();
        Run silent = mSilent;
        mSilent = null;
        if (silent != null) {
            silent.attempt().cancelSilent();
        }
        if (mCurrent != null) {
            mCurrent.attempt().cancel();
        }
    }

    /** Gives the call to {@code run}, whose target has begun to answer it. */
    private void begin(Run run) {
        endSilent("answered by another target");
        ResponseHead head = run.mHead;
        if (head != null) {
            mCall.onStreamStarted(head);
        }
    }

    private void endSilent(String reason) {
        Run silent = mSilent;
        if (silent == null) {
            return;
        }
        mSilent = null;
        cancelOverlapTimer();
        silent.attempt().cancelSilent();
        log(silent, "left", reason);
    }

    private void cancelOverlapTimer() {
        if (mOverlapTimer != NO_TIMER) {
            mContext.vertx().cancelTimer(mOverlapTimer);
            mOverlapTimer = NO_TIMER;
        }
    }

    private void log(Run silent, String outcome, String reason) {
        LOG.info(
                "step=silence request={} target={} outcome={} cause=\"{}\"",
                mRequestId,
                silent.attempt().target().incarnation(),
                outcome,
                reason);
    }

    /** One attempt, and what it has received before it answers the call. */
    private final class Run implements AttemptListener {
        private final long mStartedAt = mContext.ticker().nanoTime();
        private @Nullable TargetAttempt mAttempt;
        private @Nullable ResponseHead mHead;

        TargetAttempt attempt() {
            TargetAttempt attempt = mAttempt;
            if (attempt == null) {
                throw new IllegalStateException("the attempt has not started");
            }
            return attempt;
        }

        private boolean isSilent() {
            return this == mSilent;
        }

        @Override
        public void onSent() {
            mCall.onSent();
            if (mSilent != null) {
                cancelOverlapTimer();
                mOverlapTimer =
                        mContext.vertx()
                                .setTimer(
                                        MAX_OVERLAP_MS, t -> endSilent("taken by another target"));
            }
        }

        @Override
        public void onStreamStarted(ResponseHead head) {
            mHead = head;
        }

        @Override
        public void onEvent(StreamEvent event, long id) {
            mCall.onEvent(event, id);
        }

        @Override
        public void onComment(Buffer lines) {
            mCall.onComment(lines);
        }

        @Override
        public void onStreamEnded() {
            begin(this);
            mCall.onStreamEnded();
        }

        @Override
        public void onResponse(ResponseHead head, Buffer body) {
            mCall.onResponse(head, body);
        }

        @Override
        public void onNotExecuted(boolean wasSent, String reason) {
            if (isSilent()) {
                forgetSilent(wasSent, reason);
            } else {
                cancelOverlapTimer();
                mCall.onNotExecuted(wasSent, reason);
            }
        }

        @Override
        public void onNoPath(String reason) {
            cancelOverlapTimer();
            mCall.onNoPath(reason);
        }

        @Override
        public void onInterrupted(String reason) {
            if (isSilent()) {
                forgetSilent(false, reason);
            } else {
                cancelOverlapTimer();
                mCall.onInterrupted(reason);
            }
        }

        private void forgetSilent(boolean notExecuted, String reason) {
            mSilent = null;
            cancelOverlapTimer();
            if (notExecuted) {
                mPolicy.recordNotExecuted();
            }
            String outcome = notExecuted ? "refused" : "broken";
            mContext.metrics().countFailedAttempt(attempt().target().service(), outcome);
            log(this, outcome, reason);
        }

        @Override
        public boolean onSilence() {
            if (mSilent != null) {
                attempt().awaitAgain();
            } else if (mPolicy.mayRunAgain()) {
                mSilent = this;
                log(this, "kept", "another target is asked");
                mCall.sendBesideSilent();
            }
            return false;
        }

        @Override
        public void onProgressAfterSilence() {
            if (!isSilent()) {
                return;
            }
            Run other = mCurrent;
            mSilent = null;
            mCurrent = this;
            mWithdrawals++;
            cancelOverlapTimer();
            if (other != null && other != this) {
                other.attempt().cancel();
            }
            mCall.withdrawPlacement();
            log(this, "resumed", "its target sends again");
        }
    }
}
