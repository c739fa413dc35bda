package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.ServingRoute;

/** Handles jobs that callers submit on a batch route. */
@FunctionalInterface
public interface JobSubmissionHandler {
    /** Accepts or rejects the job that {@code customer} submits, and sends the response. */
    void submit(
            HttpServerRequest request,
            CallHead head,
            Buffer body,
            ServingRoute route,
            CustomerSpec customer);
}
