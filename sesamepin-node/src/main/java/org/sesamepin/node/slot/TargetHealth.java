package org.sesamepin.node.slot;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;

/**
 * Tracks which targets failed recently and which are leaving the fleet. A failing target is avoided
 * for a back-off that doubles with each further failure, up to a limit.
 */
public final class TargetHealth {
    private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /**
     * Consecutive failures of one target.
     *
     * @param failureCount failures since the last call that succeeded
     * @param backoffUntil end of the back-off, on the ticker's clock, nanoseconds
     */
    private record FailureState(int failureCount, long backoffUntil) {}

    private final Ticker mTicker;
    private final Map<String, FailureState> mFailureStates = new ConcurrentHashMap<>();
    private volatile Set<String> mLeavingHosts = Set.of();

    /** Creates an instance in which all targets are healthy. */
    public TargetHealth(Ticker ticker) {
        mTicker = ticker;
    }

    /** Records a failed call, which starts or extends the back-off of the target. */
    public void recordFailure(String target) {
        long now = mTicker.nanoTime();
        mFailureStates.compute(
                target,
                (name, previous) -> {
                    int failureCount = previous == null ? 1 : previous.failureCount() + 1;
                    long backoffNanos =
                            FIRST_BACKOFF_NANOS
                                    << Math.min(failureCount - 1, MAX_BACKOFF_DOUBLINGS);
                    return new FailureState(failureCount, now + backoffNanos);
                });
    }

    /** Records a successful call, which ends the back-off of the target. */
    public void recordSuccess(String target) {
        mFailureStates.remove(target);
    }

    /** Returns whether the target failed and its back-off has not ended. */
    public boolean isFailing(String target) {
        FailureState state = mFailureStates.get(target);
        return state != null && mTicker.nanoTime() - state.backoffUntil() < 0;
    }

    /** Replaces the names and addresses that the platform's list marks as leaving. */
    public void setLeavingHosts(Set<String> hosts) {
        mLeavingHosts = Set.copyOf(hosts);
    }

    /**
     * Returns whether the platform's list marks the target, by its name or its address, as leaving.
     */
    public boolean isLeaving(String name, String address) {
        return mLeavingHosts.contains(name) || mLeavingHosts.contains(address);
    }
}
