package org.sesamepin.core.target;

/** What a target says of itself. */
public enum TargetState {
    /** Takes new requests. */
    READY(true),
    /** Finishes what it has and leaves. */
    DRAINING(false);

    private final boolean mTakesRequests;

    TargetState(boolean takesRequests) {
        mTakesRequests = takesRequests;
    }

    /** Tells whether new requests may be sent. */
    public boolean acceptsRequests() {
        return mTakesRequests;
    }
}
