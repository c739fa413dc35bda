package org.sesamepin.node.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** An error as a caller sees it: {@code application/problem+json}. */
public final class Problem extends SesamepinException {
    private static final long serialVersionUID = 1L;
    private static final String TYPE_PREFIX = "urn:sesamepin:problem:";
    private static final long MS_PER_SECOND = 1_000;

    private final ProblemType mType;
    private final String mDetail;
    private final long mRetryAfterMs;

    /** Creates an error for which nothing ran. */
    public Problem(ProblemType type, Step step, String detail) {
        this(type, step, "node", Execution.NOT_RUN, detail, 0, null);
    }

    /** Creates an error that names its peer, what ran, and when to try again (0: unsaid). */
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

    /** Returns {@code e} as an error for callers. */
    public static Problem of(Throwable e) {
        if (e instanceof Problem problem) {
            return problem;
        }
        if (e instanceof SesamepinException known) {
            boolean store = known.step() == Step.STORE_READ || known.step() == Step.STORE_WRITE;
            ProblemType type = store ? ProblemType.STORE_UNAVAILABLE : ProblemType.INTERNAL;
            String detail = "step " + known.step().label() + " failed";
            return new Problem(
                    type, known.step(), known.peer(), known.execution(), detail, 0, known);
        }
        return new Problem(
                ProblemType.INTERNAL, Step.ROUTE, "node", Execution.UNKNOWN, "unexpected", 0, e);
    }

    public ProblemType type() {
        return mType;
    }

    /** Returns when the caller had better return, milliseconds; 0 when unsaid. */
    public long retryAfterMs() {
        return mRetryAfterMs;
    }

    /** Returns the body. It also holds an {@code error} object, which OpenAI clients look for. */
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

    /** Answers with this error, when no other answer has begun. */
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
