package org.sesamepin.node.spi;

import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Target;

/** How a kind of target is spoken to, over HTTP. */
public interface TargetProtocol {
    /**
     * Adds what the target wants to see to a request: its own credential, the request's id and,
     * when a stream is resumed, the offset reached.
     */
    void prepare(RequestOptions options, Target target, String requestId, @Nullable String offset);

    /** Tells whether a broken stream can be resumed at an offset. */
    boolean canResume();

    /** Tells whether an answer that names {@code answeredId} belongs to the request. */
    boolean isResponseTo(String requestId, @Nullable String answeredId);
}
