package org.sesamepin.node.serving;

/**
 * The time in which a stopping process still serves. All times are readings of the monotonic clock,
 * nanoseconds.
 *
 * @param openUntil until when the balancer may send new callers here, so that each request is taken
 * @param endsAt when the requests that still run are cut off
 */
public record DrainWindow(long openUntil, long endsAt) {
    /** Returns whether a request that arrives now and may take {@code budgetNanos} is taken. */
    boolean canFinish(long now, long budgetNanos) {
        return now - openUntil <= 0 || now + budgetNanos - endsAt <= 0;
    }
}
