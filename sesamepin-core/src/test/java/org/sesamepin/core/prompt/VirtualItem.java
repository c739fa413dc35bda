package org.sesamepin.core.prompt;

/** An accepted item of a job, and what became of it. */
final class VirtualItem {
    private final String mId;
    private final PromptParts mPrompt;
    private final boolean mBad;
    private final long mAcceptedMs;
    private final long mRunMs;
    private long mLookAtMs;
    private boolean mRunning;
    private long mDoneRunMs = -1;

    /**
     * Creates an item that waits.
     *
     * @param prompt its prompt, without the part that stands for the item
     * @param bad whether each target ends under it
     * @param runMs time in which a target answers it whole
     */
    VirtualItem(String id, PromptParts prompt, boolean bad, long acceptedMs, long runMs) {
        mId = id;
        mPrompt = prompt.withItem(id);
        mBad = bad;
        mAcceptedMs = acceptedMs;
        mRunMs = runMs;
        mLookAtMs = acceptedMs;
    }

    String id() {
        return mId;
    }

    PromptParts prompt() {
        return mPrompt;
    }

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
    }

    /** Waits again, after an interruption. */
    void interrupt(long lookAtMs) {
        mRunning = false;
        mLookAtMs = lookAtMs;
    }

    void finish(long runStartMs) {
        mRunning = false;
        mDoneRunMs = runStartMs;
    }
}
