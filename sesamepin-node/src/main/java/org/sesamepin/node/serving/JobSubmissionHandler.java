package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.ServingRoute;

/** Takes in jobs that arrive on a route for batch work. */
@FunctionalInterface
public interface JobSubmissionHandler {
    /** Answers the submission of a job by {@code customer}. */
    void submit(
            HttpServerRequest request,
            CallHead head,
            Buffer body,
            ServingRoute route,
            CustomerSpec customer);
}
