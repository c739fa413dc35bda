package org.sesamepin.core.target;

/** State that a target reports about itself. */
public enum TargetState {
    /** Accepts new requests. */
    READY(true),
    /** Completes its running requests, accepts no new ones and then stops. */
    DRAINING(false);

    private final boolean mAcceptsRequests;

    TargetState(boolean takesRequests) {
        mAcceptsRequests = takesRequests;
    }

    /** Returns whether new requests may be sent to the target. */
    public boolean acceptsRequests() {
        return mAcceptsRequests;
    }
}
