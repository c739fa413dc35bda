package org.sesamepin.core.prompt;

import java.util.concurrent.TimeUnit;
import org.sesamepin.core.job.BackOff;

/**
 * An accepted item of a job, and what became of it; or bad work: a request that ends each target
 * which answers it, and that callers send again and again, each time with an id of its own.
 */
final class VirtualItem {
    private static final long REQUEST_INTERVAL_MS = 1_000;

    private final String mId;
    private final PromptParts mPrompt;
    private final boolean mBad;
    private final long mAcceptedMs;
    private final long mRunMs;
    private long mLookAtMs;
    private boolean mRunning;
    private long mDoneRunMs = -1;
    private int mRuns;
    private int mBrokenRuns;

    private VirtualItem(String id, PromptParts prompt, boolean bad, long acceptedMs, long runMs) {
        mId = id;
        mPrompt = prompt;
        mBad = bad;
        mAcceptedMs = acceptedMs;
        mRunMs = runMs;
        mLookAtMs = acceptedMs;
    }

    /**
     * Returns an item that waits.
     *
     * @param prompt its prompt, without the part that stands for the item
     * @param runMs time in which a target answers it whole
     */
    static VirtualItem ofJob(String id, PromptParts prompt, long acceptedMs, long runMs) {
        return new VirtualItem(id, prompt.withItem(id), false, acceptedMs, runMs);
    }

    /** Returns a request that ends its targets. */
    static VirtualItem badRequest(String id, PromptParts prompt, long firstSentMs) {
        return new VirtualItem(id, prompt, true, firstSentMs, 0);
    }

    String id() {
        return mId;
    }

    /** Returns the id of the next request that a target gets. */
    String requestId() {
        return mId + '#' + mRuns;
    }

    /** Returns the id by which probes know the item; all requests share one. */
    String probeId() {
        return mPrompt.itemId();
    }

    PromptParts prompt() {
        return mPrompt;
    }

    /** Returns whether it is a request under which each target ends. */
    boolean isBad() {
        return mBad;
    }

    long acceptedMs() {
        return mAcceptedMs;
    }

    long runMs() {
        return mRunMs;
    }

    boolean isWaiting(long nowMs) {
        return !mRunning && mDoneRunMs < 0 && mLookAtMs <= nowMs;
    }

    boolean isDone() {
        return mDoneRunMs >= 0;
    }

    /** Returns when the run started that answered it whole; -1 if there was none. */
    long doneRunMs() {
        return mDoneRunMs;
    }

    void lookAt(long atMs) {
        mLookAtMs = atMs;
    }

    void start() {
        mRunning = true;
        mRuns++;
    }

    /** Waits again, after an interruption. */
    void interrupt(long lookAtMs) {
        mRunning = false;
        mLookAtMs = lookAtMs;
    }

    /** Waits again, since its target ended. */
    void recordLostTarget(long nowMs) {
        mBrokenRuns++;
        long delayMs = TimeUnit.NANOSECONDS.toMillis(BackOff.delayNanos(mBrokenRuns));
        interrupt(nowMs + (mBad ? REQUEST_INTERVAL_MS : delayMs));
    }

    void finish(long runStartMs) {
        mRunning = false;
        mDoneRunMs = runStartMs;
    }
}
