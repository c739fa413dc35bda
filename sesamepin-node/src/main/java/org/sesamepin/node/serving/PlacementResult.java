package org.sesamepin.node.serving;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;

/**
 * Where a request goes.
 *
 * @param target the target; null when the request is refused
 * @param occupancy requests at the target for each of its slots, as the decider knew them
 * @param retryAfterMs when the caller of a refused request had better return, milliseconds
 * @param decider host that decided, or why this host decided itself
 */
record PlacementResult(
        @Nullable TargetInstance target, double occupancy, long retryAfterMs, String decider) {}
