package org.sesamepin.node.serving;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;

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
 * @param version software version of the targets on which it may be placed, because it continues a
 *     stream that began there; null for any
 * @param route name of the route
 * @param size tokens that it declares
 */
record PlacementRequest(
        String id,
        String service,
        int rank,
        boolean isRetry,
        long latencyObjectiveMs,
        long remainingMs,
        Set<String> excluded,
        @Nullable String version,
        String route,
        RequestSize size) {
    /** Creates a request that declares no tokens. */
    PlacementRequest(
            String id,
            String service,
            int rank,
            boolean isRetry,
            long latencyObjectiveMs,
            long remainingMs,
            Set<String> excluded,
            @Nullable String version) {
        this(
                id,
                service,
                rank,
                isRetry,
                latencyObjectiveMs,
                remainingMs,
                excluded,
                version,
                "",
                RequestSize.NONE);
    }

    /** Returns whether the version of {@code target} is one on which this may be placed. */
    boolean mayRunAt(TargetInstance target) {
        return version == null || version.equals(target.version());
    }

    /**
     * Returns this request when it is sent again after a wait.
     *
     * @param excludedToo incarnations to exclude in addition to those excluded before
     */
    PlacementRequest again(long waitedMs, Set<String> excludedToo) {
        Set<String> allExcluded = new HashSet<>(excluded);
        allExcluded.addAll(excludedToo);
        return new PlacementRequest(
                id,
                service,
                rank,
                true,
                latencyObjectiveMs,
                Math.max(0, remainingMs - waitedMs),
                allExcluded,
                version,
                route,
                size);
    }
}
