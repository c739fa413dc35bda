package org.sesamepin.node.limit;

import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/**
 * Decision whether one request is admitted under its customer's rate limit.
 *
 * @param admitted whether the request may run
 * @param retryAfterMs time after which a rejected request may be retried, milliseconds; 0 when it
 *     was admitted
 * @param reason what the decision is based on, for the log
 */
public record Admission(boolean admitted, long retryAfterMs, String reason) {
    /** Returns the problem that a rejected request of {@code customer} is answered with. */
    public Problem toProblem(Customer customer) {
        return new Problem(
                ProblemType.RATE_EXCEEDED,
                Step.LIMIT,
                "node",
                Execution.NOT_RUN,
                "rate " + customer.rate() + "/s, burst " + customer.burst(),
                retryAfterMs,
                null);
    }
}
