package org.sesamepin.node.prompt;

import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/** Errors for callers whose prompt is in quarantine. */
public final class QuarantineProblems {
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private QuarantineProblems() {}

    /** Returns the error for a request that was sent to no target of {@code service}. */
    public static Problem notRun(String service, PromptQuarantine.Entry entry) {
        return new Problem(
                ProblemType.PROMPT_QUARANTINED,
                Step.ADMIT,
                service,
                Execution.NOT_RUN,
                detail(entry) + advice(entry),
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
        return entry.suspect().isContent()
                ? "several targets ended under this request"
                : "several targets ended under the prompt's part " + entry.suspect().label();
    }

    private static String advice(PromptQuarantine.Entry entry) {
        return entry.suspect().isContent() ? "; change it" : "; change or leave out the part";
    }

    /** Returns the time after which a caller may try a prompt in quarantine again, milliseconds. */
    private static long retryAfterMs(PromptQuarantine.Entry entry) {
        long nextMs = entry.suspect().isContent() ? entry.untilMs() : entry.nextItemProbeMs();
        return Math.max(MIN_RETRY_AFTER_MS, nextMs - System.currentTimeMillis());
    }
}
