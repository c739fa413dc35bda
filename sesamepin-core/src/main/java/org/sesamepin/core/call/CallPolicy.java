package org.sesamepin.core.call;

import org.sesamepin.core.serving.RouteKind;

/**
 * Decides after each event of one call what to do next: send the request to another target, resume
 * the stream, or end the call with a final response. Tracks which targets may have run the call, so
 * that the caller is told "not run" only when no target can have run it. Not thread-safe.
 */
public final class CallPolicy {
    /** Next action for the call. */
    public enum NextAction {
        /** Send the request to another target. */
        SEND,
        /** Resume the stream at another target after the last forwarded event. */
        RESUME,
        /** Respond that the request has not run and will not run. */
        REFUSE,
        /** Respond that a target failed; the request may have run. */
        FAIL,
        /** Respond that the deadline has passed; the request may have run. */
        TIME_OUT,
        /** Close the caller's connection, since part of the response has been forwarded already. */
        BREAK_OFF;

        /** Returns whether the call goes on with another attempt. */
        public boolean isAttempt() {
            return this == SEND || this == RESUME;
        }
    }

    /**
     * Maximum number of attempts without a run, refused by the target or without a connection, for
     * which the call is retried.
     */
    private static final int MAX_REFUSALS = 6;

    private final RouteKind mKind;
    private final int mMaxRuns;
    private final long mDeadlineNanos;
    private int mRuns;
    private int mRefusals;
    private boolean mForwarded;

    /**
     * Creates the policy of a call.
     *
     * @param kind kind of the route; decides whether the call may run more than once
     * @param maxAttempts maximum number of targets that may run the call
     * @param deadlineNanos reading of the monotonic clock at which the caller stops waiting,
     *     nanoseconds
     */
    public CallPolicy(RouteKind kind, int maxAttempts, long deadlineNanos) {
        mKind = kind;
        mMaxRuns = kind.mayRepeat() ? Math.max(1, maxAttempts) : 1;
        mDeadlineNanos = deadlineNanos;
    }

    /** Records that the request is being sent to a target, which may run it from now on. */
    public void recordSend() {
        mRuns++;
    }

    /** Records that a target to which the request was sent certainly did not run it. */
    public void recordNotExecuted() {
        mRuns--;
    }

    /** Records that a part of the response was forwarded to the caller. */
    public void recordForwarded() {
        mForwarded = true;
    }

    /** Returns whether any target may have run the call. */
    public boolean mayHaveRun() {
        return mRuns > 0;
    }

    /** Returns whether a part of the response was forwarded to the caller. */
    public boolean hasForwarded() {
        return mForwarded;
    }

    /** Returns the time until the deadline, nanoseconds; 0 when it has passed. */
    public long remainingNanos(long now) {
        return Math.max(0, mDeadlineNanos - now);
    }

    /**
     * Decides what to do after a target refused the request or could not be connected to.
     *
     * @param wasSent whether the attempt was recorded as sent; it no longer counts as a run
     */
    public NextAction onNotExecuted(boolean wasSent, long now) {
        if (wasSent) {
            recordNotExecuted();
        }
        mRefusals++;
        if (remainingNanos(now) == 0) {
            return onTimeout();
        }
        return mRefusals <= MAX_REFUSALS ? nextAttempt() : onNoTarget();
    }

    /**
     * Decides what to do after a sent request failed: the connection was lost, or the response was
     * invalid.
     */
    public NextAction onAttemptFailed(long now) {
        if (remainingNanos(now) == 0) {
            return onTimeout();
        }
        if (mayRunAgain()) {
            return nextAttempt();
        }
        return mForwarded ? NextAction.BREAK_OFF : NextAction.FAIL;
    }

    /** Returns whether another target may run the call, although one may have run it. */
    public boolean mayRunAgain() {
        return mKind.mayRepeat() && mRuns < mMaxRuns;
    }

    private NextAction nextAttempt() {
        return mForwarded ? NextAction.RESUME : NextAction.SEND;
    }

    /** Decides what to do when no target can accept the call. */
    public NextAction onNoTarget() {
        if (mForwarded) {
            return NextAction.BREAK_OFF;
        }
        return mayHaveRun() ? NextAction.FAIL : NextAction.REFUSE;
    }

    /** Decides what to do when the caller's deadline has passed. */
    public NextAction onTimeout() {
        if (mForwarded) {
            return NextAction.BREAK_OFF;
        }
        return mayHaveRun() ? NextAction.TIME_OUT : NextAction.REFUSE;
    }
}
