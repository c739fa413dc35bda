package org.sesamepin.node.serving;

import java.util.concurrent.ThreadLocalRandom;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/** Error responses to calls for which no target gives a response. */
final class CallProblems {
    private static final long MIN_RETRY_AFTER_MS = 150;
    private static final long RETRY_AFTER_JITTER_MS = 700;

    private CallProblems() {}

    /**
     * Returns the problem of a call that has not run and will not run.
     *
     * @param retryAfterMs time after which a target is expected to be free, milliseconds; retries
     *     are spread from then on
     */
    static Problem noTarget(String service, String reason, long retryAfterMs) {
        long jitter = ThreadLocalRandom.current().nextLong(RETRY_AFTER_JITTER_MS);
        return new Problem(
                ProblemType.NO_TARGET,
                Step.ADMIT,
                service,
                Execution.NOT_RUN,
                reason,
                Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) + jitter,
                null);
    }

    /** Returns the problem of a call whose targets failed; it may have run. */
    static Problem targetFailed(String service, String reason) {
        return unknownOutcome(ProblemType.TARGET_FAILED, service, reason);
    }

    /** Returns the problem of a call that no target answered in time; it may have run. */
    static Problem targetTimeout(String service, String reason) {
        return unknownOutcome(ProblemType.TARGET_TIMEOUT, service, reason);
    }

    private static Problem unknownOutcome(ProblemType type, String service, String reason) {
        return new Problem(type, Step.AWAIT_RESPONSE, service, Execution.UNKNOWN, reason, 0, null);
    }
}
