package org.sesamepin.node.target;

import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.node.spi.TargetProtocol;

/**
 * Protocol of targets with an OpenAI-compatible interface. The target returns {@code X-Request-Id}
 * and numbers the events of a stream, so that an interrupted stream is resumed with {@code
 * Last-Event-ID}.
 */
final class OpenAiProtocol implements TargetProtocol {
    @Override
    public void prepare(
            RequestOptions options, Target target, String requestId, @Nullable String offset) {
        options.putHeader(TargetHeaders.REQUEST_ID, requestId);
        TargetHeaders.putCredential(options, target);
        if (offset != null) {
            options.putHeader("Last-Event-ID", offset);
        }
    }

    @Override
    public boolean canResume() {
        return true;
    }

    @Override
    public boolean isResponseTo(String requestId, @Nullable String responseId) {
        return responseId == null || responseId.equals(requestId);
    }
}
