package org.sesamepin.node.limit;

import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/**
 * Decision about one request against its customer's rate.
 *
 * @param admitted whether it may run
 * @param retryAfterMs when a refused one may be tried again, milliseconds
 * @param reason how the decision came about, for the log
 */
public record Admission(boolean admitted, long retryAfterMs, String reason) {
    /** Returns the problem that a refused request of {@code customer} gets. */
    public Problem refusal(Customer customer) {
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
