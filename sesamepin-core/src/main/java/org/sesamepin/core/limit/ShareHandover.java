package org.sesamepin.core.limit;

import java.util.List;
import java.util.Map;

/**
 * What a leader that stops gives up.
 *
 * @param tokens tokens that were removed from its buckets, by customer
 * @param released holders whose delegations it gave up
 * @param sequence number of the notices to these holders
 */
public record ShareHandover(Map<String, Double> tokens, List<String> released, long sequence) {}
