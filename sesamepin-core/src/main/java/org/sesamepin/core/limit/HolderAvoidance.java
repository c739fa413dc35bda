package org.sesamepin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holders that did not answer in time when they were asked to admit a request. Each is passed over
 * for a time that doubles with each further time-out, until it answers. Apart from what else is
 * known of a host: another holder passes requests on to the leader, so that a false suspicion costs
 * one more message here, and much more elsewhere. All times are readings of the host's monotonic
 * clock in nanoseconds. Not thread-safe.
 */
public final class HolderAvoidance {
    private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 3;

    private record Avoided(int timeouts, long until) {}

    private final Map<String, Avoided> mAvoided = new HashMap<>();

    /** Records that {@code host} did not answer. */
    public void recordNoAnswer(String host, long now) {
        Avoided previous = mAvoided.get(host);
        if (previous != null && previous.until() - now > 0) {
            // Requests that were under way together count as one time-out.
            return;
        }
        int timeouts = previous == null ? 0 : previous.timeouts();
        long nanos = FIRST_NANOS << Math.min(timeouts, MAX_DOUBLINGS);
        mAvoided.put(host, new Avoided(timeouts + 1, now + nanos));
    }

    /** Records that {@code host} answered. */
    public void recordAnswer(String host) {
        mAvoided.remove(host);
    }

    /** Returns whether other holders are to be asked in place of {@code host}. */
    public boolean isAvoided(String host, long now) {
        Avoided avoided = mAvoided.get(host);
        return avoided != null && avoided.until() - now > 0;
    }
}
