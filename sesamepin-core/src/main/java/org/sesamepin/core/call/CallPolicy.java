package org.sesamepin.core.call;

import org.sesamepin.core.serving.RouteKind;

/**
 * Decides after each event of one call what happens next: another target, a continued stream, or
 * which final answer the caller gets. Holds what is known about runs of the call, so that "not run"
 * is said only when no target can have run it. Not thread-safe.
 */
public final class CallPolicy {
    /** What to do next. */
    public enum NextAction {
        /** Send the request to another target. */
        SEND,
        /** Continue the stream at another target behind the last event passed on. */
        RESUME,
        /** Answer that the request has not run and never will. */
        REFUSE,
        /** Answer that a target failed; the request may have run. */
        FAIL,
        /** Answer that the time is up; the request may have run. */
        TIME_OUT,
        /** End the caller's connection, since part of the answer was passed on. */
        BREAK_OFF
    }

    /** Sends that ended with a target's refusal before the call is given up. */
    private static final int MAX_REFUSALS = 6;

    private final RouteKind mKind;
    private final int mMaxRuns;
    private final long mDeadlineNanos;
    private int mRuns;
    private int mRefusals;
    private boolean mPassedOn;

    /**
     * Creates the policy of a call.
     *
     * @param maxAttempts largest number of targets that may run the call
     * @param deadlineNanos reading of the monotonic clock at which the caller stops waiting
     */
    public CallPolicy(RouteKind kind, int maxAttempts, long deadlineNanos) {
        mKind = kind;
        mMaxRuns = kind.mayRepeat() ? Math.max(1, maxAttempts) : 1;
        mDeadlineNanos = deadlineNanos;
    }

    /** Notes that the request is being written to a target, which may run it from now on. */
    public void recordSend() {
        mRuns++;
    }

    /** Notes that a part of the answer was passed on to the caller. */
    public void recordForwarded() {
        mPassedOn = true;
    }

    /** Tells whether some target may have run the call. */
    public boolean mayHaveRun() {
        return mRuns > 0;
    }

    /** Tells whether the caller has a part of the answer. */
    public boolean hasForwarded() {
        return mPassedOn;
    }

    /** Returns how much time is left, nanoseconds; 0 when none is. */
    public long remainingNanos(long now) {
        return Math.max(0, mDeadlineNanos - now);
    }

    /** Decides after a target refused the request, or could not be connected to. */
    public NextAction onNotExecuted(boolean wasSent, long now) {
        if (wasSent) {
            mRuns--;
        }
        mRefusals++;
        if (remainingNanos(now) == 0) {
            return onTimeout();
        }
        return mRefusals <= MAX_REFUSALS ? again() : onNoTarget();
    }

    /** Decides after the connection broke, or the answer was unusable, behind a sent request. */
    public NextAction onAttemptFailed(long now) {
        if (remainingNanos(now) == 0) {
            return onTimeout();
        }
        if (mKind.mayRepeat() && mRuns < mMaxRuns) {
            return again();
        }
        return mPassedOn ? NextAction.BREAK_OFF : NextAction.FAIL;
    }

    private NextAction again() {
        return mPassedOn ? NextAction.RESUME : NextAction.SEND;
    }

    /** Decides when no target can take the call. */
    public NextAction onNoTarget() {
        if (mPassedOn) {
            return NextAction.BREAK_OFF;
        }
        return mayHaveRun() ? NextAction.FAIL : NextAction.REFUSE;
    }

    /** Decides when the caller's time is up. */
    public NextAction onTimeout() {
        if (mPassedOn) {
            return NextAction.BREAK_OFF;
        }
        return mayHaveRun() ? NextAction.TIME_OUT : NextAction.REFUSE;
    }
}
