package org.sesamepin.node.target;

import io.vertx.core.http.RequestOptions;
import org.sesamepin.core.bundle.Target;

/** Headers that are sent to every target. */
public final class TargetHeaders {
    /** Header with the id of the request, in the request to a target and in its response. */
    public static final String REQUEST_ID = "X-Request-Id";

    private TargetHeaders() {}

    static void putCredential(RequestOptions options, Target target) {
        if (!target.credential().isEmpty()) {
            options.putHeader("Authorization", "Bearer " + target.credential());
        }
    }
}
