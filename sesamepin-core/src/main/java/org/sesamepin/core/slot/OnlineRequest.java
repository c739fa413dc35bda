package org.sesamepin.core.slot;

/**
 * An online request that needs a slot.
 *
 * @param requestId id of the request
 * @param customer customer on whose behalf it runs
 * @param cost estimated cost, tokens
 * @param entryHost host that received the request from the caller
 * @param deadlineNanos reading of the owner's monotonic clock at which it stops waiting,
 *     nanoseconds
 */
public record OnlineRequest(
        String requestId, String customer, long cost, String entryHost, long deadlineNanos) {}
