package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ResponseMemory;

/** Writes the response of a call to its caller. Confined to the event loop. */
final class CallerResponse {
    private final ServingContext mContext;
    private final HttpServerResponse mResponse;

    CallerResponse(ServingContext context, HttpServerResponse response) {
        mContext = context;
        mResponse = response;
    }

    /** Starts a streamed response with the head of a target's. */
    void startStream(ResponseHead head) {
        writeHead(head);
        mResponse.setChunked(true);
    }

    /** Writes a part of a stream; its attempt pauses while the caller does not read. */
    void writePart(Buffer part, TargetAttempt attempt) {
        mResponse.write(part);
        if (mResponse.writeQueueFull()) {
            attempt.setPaused(true);
            mResponse.drainHandler(v -> attempt.setPaused(false));
        }
    }

    /** Writes a whole response; it is reset if there is no memory for it. */
    void writeWhole(ResponseHead head, Buffer body) {
        writeHead(head);
        ResponseMemory.Holder memory =
                mContext.targetClient().responseMemory().newHolder(mResponse::reset);
        memory.resize(body.length());
        mResponse.end(body).onComplete(written -> memory.release());
    }

    /** Writes a problem as the response to the request {@code requestId}. */
    void writeProblem(Problem problem, String requestId) {
        closeWhenDraining();
        mContext.protocol().sendProblem(mResponse, problem, requestId);
    }

    private void writeHead(ResponseHead head) {
        mResponse.setStatusCode(head.status());
        mResponse.headers().addAll(head.forwardedHeaders());
        closeWhenDraining();
    }

    private void closeWhenDraining() {
        if (mContext.state().isDraining()) {
            mResponse.putHeader("Connection", "close");
        }
    }
}
