package org.sesamepin.core.serving;

import java.util.List;

/**
 * A route: which requests it takes, where they go and how long they may last.
 *
 * @param name name of the route
 * @param host host name that the caller addresses
 * @param prefix start of the path, with a slash at both ends
 * @param kind how often a request may run
 * @param timeoutMs longest time that a caller is kept waiting, milliseconds; 0 for no limit
 * @param latencyObjectiveMs time within which an answer is on time, milliseconds
 * @param rank urgency; 0 is the most urgent
 * @param shares services that run the requests
 * @param maxAttempts largest number of targets that may run one request
 * @param open whether callers need no key
 * @param maxEventIntervalMs longest pause between events of a stream that is on time, milliseconds;
 *     0 for none stated
 * @param completionMs time within which a job is to be complete, milliseconds
 * @param retentionMs age at which an item of a job may be given up, milliseconds
 * @param maxQueuedTokens tokens of one customer that may wait on the route; 0 for no limit
 */
public record ServingRoute(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMs,
        long latencyObjectiveMs,
        int rank,
        List<ServiceShare> shares,
        int maxAttempts,
        boolean open,
        long maxEventIntervalMs,
        long completionMs,
        long retentionMs,
        long maxQueuedTokens) {

    /**
     * Returns the service for a request.
     *
     * @param draw a number that is uniform in [0, 1)
     */
    public String selectService(double draw) {
        int total = 0;
        for (ServiceShare share : shares) {
            total += share.weight();
        }
        double at = draw * total;
        for (ServiceShare share : shares) {
            at -= share.weight();
            if (at < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /** Tells whether the route sends requests to {@code service}. */
    public boolean sendsTo(String service) {
        return shares.stream().anyMatch(s -> s.service().equals(service) && s.weight() > 0);
    }
}
