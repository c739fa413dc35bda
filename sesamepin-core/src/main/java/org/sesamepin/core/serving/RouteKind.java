package org.sesamepin.core.serving;

/** How often a request of a route may run, and in what form it is answered. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT(true, false),
    /** Runs at most once for each attempt of the caller. */
    AT_MOST_ONCE(false, false),
    /** Answered by a stream of events that cannot be continued by another target. */
    STREAM(false, true),
    /** Answered by a stream of events that another target can continue behind any event. */
    RESUMABLE_STREAM(true, true),
    /** Jobs of many items that run later. */
    BATCH(true, true);

    private final boolean mRepeatable;
    private final boolean mStreamed;

    RouteKind(boolean repeatable, boolean streamed) {
        mRepeatable = repeatable;
        mStreamed = streamed;
    }

    /** Tells whether a request that may have run can be sent to a target again. */
    public boolean mayRepeat() {
        return mRepeatable;
    }

    /** Tells whether the answer is passed on event by event. */
    public boolean isStreamed() {
        return mStreamed;
    }
}
