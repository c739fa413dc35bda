package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.Optional;

/** Knows where streams began, so that one that its caller takes up goes on at the same software. */
public interface StreamOrigins {
    /**
     * The origin of a stream.
     *
     * @param origin where the stream began
     * @param source label of how that is known, for logs and metrics
     */
    record Found(StreamOrigin origin, String source) {}

    /**
     * Records where a stream began, or that it went on there. The events are forwarded once the
     * result completes, whether or not it succeeds.
     *
     * @param streamId id of the caller's attempt that brought the first event
     */
    Future<Void> record(String streamId, StreamOrigin origin);

    /** Returns where a stream began; empty when that is unknown, as is a failed result. */
    Future<Optional<Found>> find(String streamId);
}
