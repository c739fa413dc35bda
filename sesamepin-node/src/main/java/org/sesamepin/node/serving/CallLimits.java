package org.sesamepin.node.serving;

import java.util.concurrent.TimeUnit;
import org.sesamepin.core.serving.ServingRoute;

/** Limits in time of one call, which follow from the caller's head and the route. */
final class CallLimits {
    /**
     * A caller whose time budget is below this fraction of the route's timeout counts as a retry
     * after a rejection.
     */
    private static final double FIRST_CALL_BUDGET_FRACTION = 0.95;

    private static final long MIN_IDLE_TIMEOUT_MS = 400;
    private static final int IDLE_TIMEOUT_GAPS = 3;

    /** Time for which a sound target may be silent within a call, as in a collection of garbage. */
    private static final long SOUND_SILENCE_MS = 1_200;

    /** Share of a call's time after which another target is asked, however short the silence. */
    private static final double MAX_SILENT_SHARE = 0.5;

    private CallLimits() {}

    /** Returns how long a call may take, milliseconds. */
    static long budgetMs(CallHead head, ServingRoute route) {
        long budget = head.budgetMs() > 0 ? head.budgetMs() : Long.MAX_VALUE;
        long limit = route.timeoutMs() > 0 ? route.timeoutMs() : Long.MAX_VALUE;
        return Math.min(TimeUnit.HOURS.toMillis(1), Math.min(budget, limit));
    }

    /**
     * Returns whether the caller was rejected before: a retry has less time than the route's
     * timeout.
     */
    static boolean isRetry(CallHead head, ServingRoute route) {
        return head.budgetMs() > 0
                && head.budgetMs() < route.timeoutMs() * FIRST_CALL_BUDGET_FRACTION;
    }

    /**
     * Returns how long a target may send nothing, milliseconds; 0 (no limit) unless another target
     * could continue the call.
     *
     * @param budgetMs time that is left for the call, milliseconds
     */
    static long idleTimeoutMs(ServingRoute route, long budgetMs) {
        if (!route.kind().mayRepeat() || route.maxAttempts() < 2) {
            return 0;
        }
        long eventGapMs = Math.max(route.latencyObjectiveMs(), route.maxEventIntervalMs());
        long silenceMs = Math.min(SOUND_SILENCE_MS, (long) (budgetMs * MAX_SILENT_SHARE));
        long idleMs = Math.max(MIN_IDLE_TIMEOUT_MS, eventGapMs * IDLE_TIMEOUT_GAPS);
        return Math.max(idleMs, silenceMs);
    }
}
