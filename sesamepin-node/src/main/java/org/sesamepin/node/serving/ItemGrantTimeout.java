package org.sesamepin.node.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the coordinator of a service grants nothing to the waiting items of this host, for
 * example because hosts disagree on which of them it is. Confined to the event loop.
 */
final class ItemGrantTimeout {
    /** Longer than a coordinator lets items wait for faster targets. */
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Interval between two items that are placed without a grant. */
    private static final long PLACEMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time without a check after which items are taken to have begun to wait only now. */
    private static final long CHECK_TTL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private record Wait(long since, long checkedAt, long placedAt) {}

    private final Map<String, Wait> mWaits = new HashMap<>();

    /**
     * Returns whether an item may be placed without a grant. Called repeatedly while items of
     * {@code service} wait.
     */
    boolean isOver(String service, long now) {
        Wait previous = mWaits.get(service);
        if (previous == null || now - previous.checkedAt() > CHECK_TTL_NANOS) {
            mWaits.put(service, new Wait(now, now, now));
            return false;
        }
        mWaits.put(service, new Wait(previous.since(), now, previous.placedAt()));
        return now - previous.since() >= TIMEOUT_NANOS
                && now - previous.placedAt() >= PLACEMENT_INTERVAL_NANOS;
    }

    /** Records that an item was placed without a grant. */
    void recordPlacement(String service, long now) {
        mWaits.computeIfPresent(
                service, (name, wait) -> new Wait(wait.since(), wait.checkedAt(), now));
    }

    /** Records that a grant has started an item; the wait of the others begins anew. */
    void recordGrant(String service) {
        mWaits.remove(service);
    }
}
