package org.sesamepin.core.serving;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A route: which requests it matches, to which services they go, and their limits and objectives.
 *
 * @param name name of the route
 * @param host host name to which callers send requests
 * @param prefix prefix of the path, with a slash at both ends
 * @param kind how often a request may run, and whether its response is a stream
 * @param timeoutMs maximum time that a caller waits for a response, milliseconds; 0 for no limit
 * @param latencyObjectiveMs latency objective of a response, milliseconds
 * @param rank priority; 0 is the highest
 * @param shares services that run the requests
 * @param maxAttempts maximum number of targets that may run one request
 * @param open whether callers need no API key
 * @param maxEventIntervalMs objective for the maximum time between two events of a stream,
 *     milliseconds; 0 for none
 * @param completionMs completion objective of a job, milliseconds
 * @param retentionMs age at which an unfinished item of a job may be failed, milliseconds
 * @param maxQueuedTokens maximum number of tokens of one customer that may wait on the route; 0 for
 *     no limit
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
     * Returns the service for a request, chosen in proportion to the weights of the shares.
     *
     * @param draw random number, uniform in [0, 1)
     */
    public String selectService(double draw) {
        int totalWeight = 0;
        for (ServiceShare share : shares) {
            totalWeight += share.weight();
        }
        double remaining = draw * totalWeight;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /** Returns the services to which the route sends requests. */
    public Set<String> services() {
        return shares.stream()
                .filter(share -> share.weight() > 0)
                .map(ServiceShare::service)
                .collect(Collectors.toSet());
    }

    /** Returns whether the route sends requests to {@code service}. */
    public boolean sendsTo(String service) {
        return shares.stream().anyMatch(s -> s.service().equals(service) && s.weight() > 0);
    }
}
