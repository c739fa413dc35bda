package org.sesamepin.core.limit;

import java.util.List;
import java.util.Map;

/**
 * Answer of a holder to the request for its share of a rate group.
 *
 * @param delegated whether the asking host may use the share
 * @param fraction the share, as a fraction of the rates and bursts of the group; 0 if not delegated
 * @param tokens tokens that were removed from the holder's buckets for the asking host, by customer
 * @param released holders whose delegations this host gave up, and to which it is to tell that
 * @param sequence number of these notices
 */
public record ShareAnswer(
        boolean delegated,
        double fraction,
        Map<String, Double> tokens,
        List<String> released,
        long sequence) {
    /** Answer of a host that keeps its share, or has none. */
    public static final ShareAnswer DENIED = new ShareAnswer(false, 0, Map.of(), List.of(), 0);
}
