package org.sesamepin.node.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.target.TargetInstance;

/**
 * Which software the registered targets have had, as far back as this host has followed the
 * registrations without a gap. Not thread-safe.
 */
final class SoftwareHistory {
    private final Map<TargetSoftware, Long> mGoneAt = new HashMap<>();
    private Set<TargetSoftware> mRegistered = Set.of();
    private boolean mFollowing;
    private long mFollowedSince;

    /** Records the registered targets, which replace those recorded before. */
    void record(Collection<TargetInstance> targets, long now) {
        if (!mFollowing) {
            mFollowing = true;
            mFollowedSince = now;
        }
        Set<TargetSoftware> registered = new HashSet<>();
        targets.forEach(target -> registered.add(target.software()));
        for (TargetSoftware former : mRegistered) {
            if (!registered.contains(former)) {
                mGoneAt.put(former, now);
            }
        }
        mRegistered = registered;
    }

    /** Records that changes of the registrations may have been missed. */
    void recordGap(long now) {
        mFollowedSince = now;
    }

    /**
     * Returns the only software that targets of {@code services} have had for some time; null when
     * there were several or none, or when that is not known.
     *
     * @param nanos length of the time up to now, nanoseconds
     */
    @Nullable TargetSoftware onlySoftware(Collection<String> services, long nanos, long now) {
        mGoneAt.values().removeIf(goneAt -> now - goneAt > nanos);
        if (!mFollowing || now - mFollowedSince < nanos) {
            return null;
        }
        Set<TargetSoftware> known = new HashSet<>(mRegistered);
        known.addAll(mGoneAt.keySet());
        known.removeIf(software -> !services.contains(software.service()));
        return known.size() == 1 ? known.iterator().next() : null;
    }
}
