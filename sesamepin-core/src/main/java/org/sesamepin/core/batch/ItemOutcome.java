package org.sesamepin.core.batch;

/** Outcome of an attempt to run a batch item. */
public enum ItemOutcome {
    /** The target responded; the item is complete. */
    COMPLETED(true),
    /** The target rejected the item as invalid; a retry would fail again. */
    INVALID(true),
    /** An online request preempted the item; not a failure of the item. */
    PREEMPTED(false),
    /** The target failed or became unresponsive while the item was in flight. */
    TARGET_FAILED(false),
    /** The item was not started. */
    NOT_STARTED(false);

    private final boolean mFinal;

    ItemOutcome(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether the outcome is final, so that the item needs no further attempt. */
    public boolean isFinal() {
        return mFinal;
    }
}
