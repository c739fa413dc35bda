package org.sesamepin.core.slot;

/**
 * An online request that wants a slot.
 *
 * @param requestId the request
 * @param customer the customer for whom it runs
 * @param cost estimated cost in tokens
 * @param entryHost entry host that holds the request
 * @param deadlineNanos when it gives up waiting, nanoseconds of the owner's clock
 */
public record OnlineRequest(
        String requestId, String customer, long cost, String entryHost, long deadlineNanos) {}
