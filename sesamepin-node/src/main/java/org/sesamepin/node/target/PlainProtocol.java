package org.sesamepin.node.target;

import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.node.spi.TargetProtocol;

/** Plain HTTP calls, passed on as they came but for the caller's key. */
final class PlainProtocol implements TargetProtocol {
    @Override
    public void prepare(
            RequestOptions options, Target target, String requestId, @Nullable String offset) {
        options.putHeader(TargetHeaders.REQUEST_ID, requestId);
        TargetHeaders.putCredential(options, target);
    }

    @Override
    public boolean canResume() {
        return false;
    }

    @Override
    public boolean isResponseTo(String requestId, @Nullable String answeredId) {
        return answeredId == null || answeredId.equals(requestId);
    }
}
