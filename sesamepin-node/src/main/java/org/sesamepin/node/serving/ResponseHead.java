package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetPaces;

/**
 * The head of a target's response.
 *
 * @param status HTTP status
 * @param requestId id of the request that the response belongs to; null when the head has none, all
 *     ids joined when it has several
 * @param notExecuted whether the target states that it did not run the request
 * @param authentic whether the response carries the target's signature
 * @param encoded whether the body is encoded, in which case it is not the body that the target sent
 * @param streamed whether the body is a stream of events
 * @param leaving whether the target states that it leaves, and takes no further requests
 * @param requestLimitPerS requests per second that the target takes from all hosts; {@link
 *     org.sesamepin.core.target.TargetRateLimits#NO_LIMIT} when it names none, not a number when it
 *     cannot be read
 * @param pace time that work takes at the target now, relative to the usual time; {@link
 *     org.sesamepin.core.target.TargetPaces#NONE} when it names none, not positive when it cannot
 *     be read
 * @param forwardedHeaders headers that are forwarded to the caller
 */
public record ResponseHead(
        int status,
        @Nullable String requestId,
        boolean notExecuted,
        boolean authentic,
        boolean encoded,
        boolean streamed,
        boolean leaving,
        double requestLimitPerS,
        double pace,
        MultiMap forwardedHeaders) {
    /** Creates the head of a response that does not say how long work takes at the target. */
    public ResponseHead(
            int status,
            @Nullable String requestId,
            boolean notExecuted,
            boolean authentic,
            boolean encoded,
            boolean streamed,
            boolean leaving,
            double requestLimitPerS,
            MultiMap forwardedHeaders) {
        this(
                status,
                requestId,
                notExecuted,
                authentic,
                encoded,
                streamed,
                leaving,
                requestLimitPerS,
                TargetPaces.NONE,
                forwardedHeaders);
    }

    /** Returns whether the status is a success status (2xx). */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
