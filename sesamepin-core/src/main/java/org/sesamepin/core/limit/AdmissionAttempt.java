package org.sesamepin.core.limit;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Decides which host is asked to admit one request, and when to stop asking. All times are readings
 * of the asking host's monotonic clock in nanoseconds. Not thread-safe.
 */
public final class AdmissionAttempt {
    /** Time after which a host that has not answered counts as lost for this request. */
    public static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Pause before a host that recovers is asked again. */
    public static final long RECOVERY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int LATENCY_OBJECTIVE_DIVISOR = 4;
    private static final int MAX_UNANSWERED = 3;

    /**
     * Hosts that are asked even when no time is left: a refused request is lost, a late one is not.
     */
    private static final int MIN_ASKED = 2;

    private static final long LATE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final List<String> mHosts;
    private final long mDeadline;
    private int mNext;
    private int mUnanswered;
    private long mRetryAfterNanos = RETRY_AFTER_NANOS;

    /**
     * Starts an attempt.
     *
     * @param hosts hosts to ask, in order
     * @param latencyObjectiveNanos latency objective of the request's route; 0 if unknown
     */
    public AdmissionAttempt(List<String> hosts, long latencyObjectiveNanos, long now) {
        mHosts = hosts;
        long wait =
                latencyObjectiveNanos > 0
                        ? Math.min(
                                MAX_WAIT_NANOS, latencyObjectiveNanos / LATENCY_OBJECTIVE_DIVISOR)
                        : MAX_WAIT_NANOS;
        mDeadline = now + wait;
    }

    /** Returns the host to ask now, or null if the request is to be refused. */
    public @Nullable String host() {
        boolean isOver = mUnanswered >= Math.min(MAX_UNANSWERED, mHosts.size());
        return isOver ? null : mHosts.get(mNext % mHosts.size());
    }

    /** Returns how long to wait for the answer of the host that is asked at {@code now}. */
    public long timeoutNanos(long now) {
        if (mUnanswered == 0) {
            return ANSWER_TIMEOUT_NANOS;
        }
        return Math.max(LATE_TIMEOUT_NANOS, Math.min(ANSWER_TIMEOUT_NANOS, mDeadline - now));
    }

    /** Records that the host did not answer; the next one may be asked at once. */
    public void onNoAnswer(long now) {
        mNext++;
        mUnanswered++;
        if (mDeadline - now <= 0 && mUnanswered >= MIN_ASKED) {
            mUnanswered = MAX_UNANSWERED;
        }
    }

    /**
     * Records that the host refused the request.
     *
     * @param retryAfterNanos time after which it expects a token, in nanoseconds
     * @return whether to ask again, after {@link #RECOVERY_PAUSE_NANOS}
     */
    public boolean onRefusal(long retryAfterNanos, boolean recovering, long now) {
        mRetryAfterNanos = retryAfterNanos;
        // The next holder may know a leader that this one does not know.
        mNext++;
        return recovering && mDeadline - (now + RECOVERY_PAUSE_NANOS) >= 0;
    }

    /** Returns after which time a refused request may return, in nanoseconds. */
    public long retryAfterNanos() {
        return mRetryAfterNanos;
    }
}
