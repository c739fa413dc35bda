package org.sesamepin.core.batch;

/** How an attempt at a batch item ended. */
public enum ItemOutcome {
    /** The target answered; the item is complete. */
    COMPLETED(true),
    /** The target refused the item as invalid; trying again would not help. */
    INVALID(true),
    /** An online request took the slot; never the item's fault. */
    PREEMPTED(false),
    /** The target died or went silent with the item in flight. */
    TARGET_FAILED(false),
    /** The item never started. */
    NOT_STARTED(false);

    private final boolean mFinal;

    ItemOutcome(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Tells whether the item needs no further attempt. */
    public boolean isFinal() {
        return mFinal;
    }
}
