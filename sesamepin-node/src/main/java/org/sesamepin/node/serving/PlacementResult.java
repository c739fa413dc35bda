package org.sesamepin.node.serving;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;

/**
 * The target that a request is placed on, or the rejection of the request.
 *
 * @param target the target; null when the request is rejected
 * @param occupancy number of requests at the target per slot, as known to the decider
 * @param retryAfterMs time after which the caller of a rejected request should retry, milliseconds
 * @param decider host that decided, or the reason why this host decided itself
 */
record PlacementResult(
        @Nullable TargetInstance target, double occupancy, long retryAfterMs, String decider) {}
