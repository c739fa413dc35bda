package org.sesamepin.node.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Hosts that answered a message of rate groups with a failure, since their build does not know it.
 * While hosts of two builds serve side by side, requests are admitted by loans. All times are
 * readings of the monotonic clock in nanoseconds. Confined to the event loop.
 */
public final class OlderBuilds {
    private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Long> mHoldersUntil = new HashMap<>();

    /**
     * Kept apart: a leader of this build refuses to admit while a holder is of an older one, and
     * hosts that refuse each other for that reason must not keep each other from rate groups.
     */
    private final Map<String, Long> mRefusedUntil = new HashMap<>();

    /** Records that a holder did not know the request for its share. */
    public void recordHolder(String host, long now) {
        mHoldersUntil.put(host, now + MEMORY_NANOS);
    }

    /** Records that a host does not admit requests of rate groups. */
    public void recordRefusedAdmission(String host, long now) {
        mRefusedUntil.put(host, now + MEMORY_NANOS);
    }

    /** Returns whether a holder lately did not know the request for its share. */
    public boolean isAnyHolder(long now) {
        mHoldersUntil.values().removeIf(until -> now - until >= 0);
        return !mHoldersUntil.isEmpty();
    }

    /** Returns whether requests are admitted by loans, since one of {@code hosts} is older. */
    public boolean containsAny(Collection<String> hosts, long now) {
        mRefusedUntil.values().removeIf(until -> now - until >= 0);
        return isAnyHolder(now) || hosts.stream().anyMatch(mRefusedUntil::containsKey);
    }
}
