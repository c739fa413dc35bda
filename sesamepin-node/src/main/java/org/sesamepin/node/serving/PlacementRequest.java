package org.sesamepin.node.serving;

import java.util.Set;

/**
 * An online request that is to be placed on a target.
 *
 * @param id id of the request
 * @param service service that is to run it
 * @param rank priority; 0 is the highest
 * @param isRetry whether its caller was rejected before and retries
 * @param latencyObjectiveMs latency objective: time within which the first byte of the response is
 *     due, milliseconds
 * @param remainingMs time until the caller stops waiting, milliseconds
 * @param excluded incarnations of the targets to which it was already sent
 */
record PlacementRequest(
        String id,
        String service,
        int rank,
        boolean isRetry,
        long latencyObjectiveMs,
        long remainingMs,
        Set<String> excluded) {}
