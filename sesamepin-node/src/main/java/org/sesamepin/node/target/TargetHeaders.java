package org.sesamepin.node.target;

import io.vertx.core.http.RequestOptions;
import org.sesamepin.core.bundle.Target;

/** Headers that every target gets. */
public final class TargetHeaders {
    /** Names the request towards the target and in its answer. */
    public static final String REQUEST_ID = "X-Request-Id";

    private TargetHeaders() {}

    static void putCredential(RequestOptions options, Target target) {
        if (!target.credential().isEmpty()) {
            options.putHeader("Authorization", "Bearer " + target.credential());
        }
    }
}
