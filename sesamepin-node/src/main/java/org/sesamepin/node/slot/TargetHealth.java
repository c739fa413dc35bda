package org.sesamepin.node.slot;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;

/** Which targets lately failed or are leaving; a failing one is tried again after a pause. */
public final class TargetHealth {
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_DOUBLINGS = 4;

    private record Failing(int failures, long until) {}

    private final Ticker mTicker;
    private final Map<String, Failing> mFailing = new ConcurrentHashMap<>();
    private volatile Set<String> mLeaving = Set.of();

    /** Creates the table; all targets count as healthy. */
    public TargetHealth(Ticker ticker) {
        mTicker = ticker;
    }

    /** Notes a failed call. */
    public void failed(String target) {
        long now = mTicker.nanoTime();
        mFailing.compute(
                target,
                (name, before) -> {
                    int failures = before == null ? 1 : before.failures() + 1;
                    long pause = FIRST_PAUSE_NANOS << Math.min(failures - 1, MAX_DOUBLINGS);
                    return new Failing(failures, now + pause);
                });
    }

    /** Notes a call that succeeded. */
    public void succeeded(String target) {
        mFailing.remove(target);
    }

    public boolean isFailing(String target) {
        Failing failing = mFailing.get(target);
        return failing != null && mTicker.nanoTime() - failing.until() < 0;
    }

    /** Replaces the names and addresses that the platform's list says are leaving. */
    public void setLeaving(Set<String> hosts) {
        mLeaving = Set.copyOf(hosts);
    }

    /** Tells whether the list has the target, by its name or its address, as leaving. */
    public boolean isLeaving(String name, String address) {
        return mLeaving.contains(name) || mLeaving.contains(address);
    }
}
