package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import org.jspecify.annotations.Nullable;

/**
 * What the head of a target's answer says.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers; null when it names none
 * @param notExecuted whether the target states that it did not run the request
 * @param authentic whether the answer carries the target's signature
 * @param encoded whether the body is encoded, so that it is not the target's own
 * @param streamed whether the body is a stream of events
 * @param forwardedHeaders headers that go to the caller
 */
public record ResponseHead(
        int status,
        @Nullable String requestId,
        boolean notExecuted,
        boolean authentic,
        boolean encoded,
        boolean streamed,
        MultiMap forwardedHeaders) {
    /** Tells whether the status says success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
