package org.sesamepin.node.target;

import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.node.spi.TargetProtocol;

/**
 * Protocol of plain HTTP targets. Requests are forwarded unchanged, except that the caller's key is
 * left out and that the request id and the target's credential are added.
 */
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
    public boolean isResponseTo(String requestId, @Nullable String responseId) {
        return responseId == null || responseId.equals(requestId);
    }
}
