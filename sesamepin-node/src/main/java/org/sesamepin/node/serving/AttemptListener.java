package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import org.sesamepin.node.http.StreamEvent;

/** Receives the progress and the end of a {@link TargetAttempt}. */
public interface AttemptListener {
    /** Returns whether the request may still be sent, now that there is a connection for it. */
    default boolean maySend() {
        return true;
    }

    /** The request is being written; the target may run it from now on. */
    void onSent();

    /** The head of a streamed response was received; its events follow. */
    void onStreamStarted(ResponseHead head);

    /** A complete event was received; events arrive in the order of their ids, without gaps. */
    void onEvent(StreamEvent event, long id);

    /** Lines between two events were received, such as comments; they belong to no event. */
    default void onComment(Buffer lines) {}

    /** The stream has ended after a complete event. */
    void onStreamEnded();

    /** A complete response that is not streamed was received. */
    void onResponse(ResponseHead head, Buffer body);

    /**
     * The target certainly did not run the request.
     *
     * @param wasSent whether {@link #onSent} was called for this attempt
     */
    void onNotExecuted(boolean wasSent, String reason);

    /** This host and its peers reach no target now; the target did not run the request. */
    default void onNoPath(String reason) {
        onNotExecuted(false, reason);
    }

    /**
     * The target has sent nothing for the idle timeout.
     *
     * @return whether the attempt ends; otherwise it goes on, without an idle timeout until the
     *     target sends again
     */
    default boolean onSilence() {
        return true;
    }

    /** The target sends again after {@link #onSilence}; the idle timeout starts anew. */
    default void onProgressAfterSilence() {}

    /** The request was sent, but a complete response can no longer arrive; it may have run. */
    void onInterrupted(String reason);
}
