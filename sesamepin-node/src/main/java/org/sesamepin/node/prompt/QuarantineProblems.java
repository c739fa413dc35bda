package org.sesamepin.node.prompt;

import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/** Errors for callers whose prompt is in quarantine. */
public final class QuarantineProblems {
    private QuarantineProblems() {}

    /** Returns the error for a request that was sent to no target of {@code service}. */
    public static Problem notRun(String service, PromptQuarantine.Entry entry) {
        return new Problem(
                ProblemType.PROMPT_QUARANTINED,
                Step.ADMIT,
                service,
                Execution.NOT_RUN,
                detail(entry) + "; change or leave out the part",
                retryAfterMs(entry),
                null);
    }

    /** Returns the error for a request under which targets of {@code service} ended. */
    public static Problem interrupted(String service, PromptQuarantine.Entry entry) {
        return new Problem(
                ProblemType.TARGET_FAILED,
                Step.AWAIT_RESPONSE,
                service,
                Execution.UNKNOWN,
                detail(entry) + "; the request is not repeated",
                0,
                null);
    }

    private static String detail(PromptQuarantine.Entry entry) {
        return "several targets ended under the prompt's part " + entry.suspect().label();
    }

    /** Returns the time after which a caller may try a prompt in quarantine again, milliseconds. */
    private static long retryAfterMs(PromptQuarantine.Entry entry) {
        return Math.max(1_000, entry.untilMs() - System.currentTimeMillis());
    }
}
