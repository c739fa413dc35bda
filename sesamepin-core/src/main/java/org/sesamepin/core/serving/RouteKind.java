package org.sesamepin.core.serving;

/** How often a request of a route may run, and whether its response is a stream. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT(true, false),
    /** May run at most once for each attempt of the caller. */
    AT_MOST_ONCE(false, false),
    /** The response is a stream of events that another target cannot resume. */
    STREAM(false, true),
    /** The response is a stream of events that another target can resume after any event. */
    RESUMABLE_STREAM(true, true),
    /** Takes batch jobs, whose items run later. */
    BATCH(true, true);

    private final boolean mRepeatable;
    private final boolean mStreamed;

    RouteKind(boolean repeatable, boolean streamed) {
        mRepeatable = repeatable;
        mStreamed = streamed;
    }

    /** Returns whether a request that may have run may be sent to a target again. */
    public boolean mayRepeat() {
        return mRepeatable;
    }

    /** Returns whether the response is forwarded event by event. */
    public boolean isStreamed() {
        return mStreamed;
    }
}
