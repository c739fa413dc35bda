package org.sesamepin.node.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** An error as it is sent to a caller, as {@code application/problem+json}. */
public final class Problem extends SesamepinException {
    private static final long serialVersionUID = 1L;
    private static final String TYPE_PREFIX = "urn:sesamepin:problem:";
    private static final long MS_PER_SECOND = 1_000;

    private final ProblemType mType;
    private final String mDetail;
    private final long mRetryAfterMs;

    /** Creates an error of this node after which nothing of the request was run. */
    public Problem(ProblemType type, Step step, String detail) {
        this(type, step, "node", Execution.NOT_RUN, detail, 0, null);
    }

    /**
     * Creates an error.
     *
     * @param peer the peer or target at which the error arose
     * @param execution what is failure about the execution of the request
     * @param detail description for the caller
     * @param retryAfterMs time after which the caller should retry, milliseconds; 0 for none
     */
    public Problem(
            ProblemType type,
            Step step,
            String peer,
            Execution execution,
            String detail,
            long retryAfterMs,
            @Nullable Throwable cause) {
        super(step, peer, execution, detail, cause);
        mType = type;
        mDetail = detail;
        mRetryAfterMs = retryAfterMs;
    }

    /**
     * Converts any failure to an error for callers. The message of a failure other than a {@link
     * Problem} is not sent; it is kept as the cause.
     */
    public static Problem of(Throwable e) {
        if (e instanceof Problem problem) {
            return problem;
        }
        if (e instanceof SesamepinException failure) {
            boolean isStoreStep =
                    failure.step() == Step.STORE_READ || failure.step() == Step.STORE_WRITE;
            ProblemType type = isStoreStep ? ProblemType.STORE_UNAVAILABLE : ProblemType.INTERNAL;
            String detail = "step " + failure.step().label() + " failed";
            return new Problem(
                    type, failure.step(), failure.peer(), failure.execution(), detail, 0, failure);
        }
        return new Problem(
                ProblemType.INTERNAL, Step.ROUTE, "node", Execution.UNKNOWN, "unexpected", 0, e);
    }

    public ProblemType type() {
        return mType;
    }

    /** Returns the time after which the caller should retry, milliseconds; 0 for none. */
    public long retryAfterMs() {
        return mRetryAfterMs;
    }

    /**
     * Returns the body of the response. Besides the problem's members it contains an {@code error}
     * object, which OpenAI clients read.
     */
    public JsonObject toJson(String requestId) {
        return new JsonObject()
                .put("type", TYPE_PREFIX + mType.label())
                .put("title", mType.title())
                .put("status", mType.status())
                .put("detail", mDetail)
                .put("step", step().label())
                .put("execution", execution().label())
                .put("request_id", requestId)
                .put(
                        "error",
                        new JsonObject()
                                .put("message", mType.title() + ": " + mDetail)
                                .put("type", mType.label())
                                .put("code", mType.label()));
    }

    /** Sends this error as the response, unless the head of a response was sent already. */
    public void send(HttpServerResponse response, String requestId) {
        if (response.headWritten() || response.ended() || response.closed()) {
            return;
        }
        if (mRetryAfterMs > 0) {
            long seconds = (mRetryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
            response.putHeader("Retry-After", Long.toString(seconds));
            response.putHeader("Retry-After-Ms", Long.toString(mRetryAfterMs));
        }
        response.setStatusCode(mType.status())
                .putHeader("Content-Type", "application/problem+json")
                .putHeader("X-Request-Id", requestId)
                .end(toJson(requestId).toBuffer());
    }
}
