package org.sesamepin.core.serving;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A customer with its API keys and its rate limit.
 *
 * @param name name of the customer
 * @param keys API keys with which its callers authenticate
 * @param rank priority that overrides the rank of the route; null where the rank of the route
 *     applies
 * @param ratePerS limit over all hosts, requests per second; 0 for no limit
 * @param burst requests above the rate that may arrive at once
 */
public record CustomerSpec(
        String name, List<String> keys, @Nullable Integer rank, double ratePerS, double burst) {
    /** Returns whether the customer's request rate is limited. */
    public boolean isLimited() {
        return ratePerS > 0;
    }
}
