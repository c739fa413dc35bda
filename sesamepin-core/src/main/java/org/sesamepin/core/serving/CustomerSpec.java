package org.sesamepin.core.serving;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A customer with its keys and its rate.
 *
 * @param name name of the customer
 * @param keys secrets that its callers present
 * @param rank urgency that replaces the route's; null where the route's holds
 * @param ratePerS requests a second over all hosts; 0 for no limit
 * @param burst requests above the rate that may come at once
 */
public record CustomerSpec(
        String name, List<String> keys, @Nullable Integer rank, double ratePerS, double burst) {
    /** Tells whether the customer's requests are limited. */
    public boolean isLimited() {
        return ratePerS > 0;
    }
}
