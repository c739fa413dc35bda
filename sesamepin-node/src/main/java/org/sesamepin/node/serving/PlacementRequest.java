package org.sesamepin.node.serving;

import java.util.Set;

/**
 * An online request that wants a target.
 *
 * @param id id of the request
 * @param service service that is to run it
 * @param rank urgency; 0 is the most urgent
 * @param retried whether its caller was refused before
 * @param latencyMs time within which the first piece is on time, milliseconds
 * @param remainingMs how long the caller waits yet, milliseconds
 * @param excluded incarnations of targets that it was sent to already
 */
record PlacementRequest(
        String id,
        String service,
        int rank,
        boolean retried,
        long latencyMs,
        long remainingMs,
        Set<String> excluded) {}
