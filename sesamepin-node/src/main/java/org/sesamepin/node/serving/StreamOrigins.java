package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.stream.Finding;
import org.sesamepin.core.stream.TakeUp;

/** Knows where streams began, so that one that its caller takes up goes on at the same software. */
public interface StreamOrigins {
    /**
     * Records where a stream began, or that it went on there. The events are forwarded once the
     * result completes, whether or not it succeeds; it may never complete after the end of the
     * call.
     *
     * @param streamId id of the caller's attempt that brought the first event
     * @param customer customer whose stream it is; null for an anonymous caller
     * @param software software of the target that writes the events
     * @param isOver tells that the call has ended, and that nothing is to be forwarded any more
     */
    Future<Void> record(
            String streamId,
            @Nullable String customer,
            TargetSoftware software,
            BooleanSupplier isOver);

    /** Finds the software that began a stream; never fails. */
    Future<Finding> find(TakeUp takeUp);
}
