package org.sesamepin.node.spi;

import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Target;

/** The HTTP conventions of one kind of target. */
public interface TargetProtocol {
    /**
     * Adds the headers that the target expects to a request: the target's credential, the id of the
     * request and, when a stream is resumed, the offset after which it continues.
     *
     * @param offset id of the last event that was received; null when no stream is resumed
     */
    void prepare(RequestOptions options, Target target, String requestId, @Nullable String offset);

    /** Returns whether an interrupted stream can be resumed at an offset. */
    boolean canResume();

    /**
     * Returns whether a response belongs to the request {@code requestId}.
     *
     * @param responseId request id in the header of the response; null when it has none
     */
    boolean isResponseTo(String requestId, @Nullable String responseId);
}
