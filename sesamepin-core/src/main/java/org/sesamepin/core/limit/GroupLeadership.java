package org.sesamepin.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this host leads a rate group, and when it asks which holder for its share. All
 * times are readings of the host's monotonic clock in nanoseconds. Not thread-safe.
 */
final class GroupLeadership {
    private static final long FAST_ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time for which a new leader asks more often for shares that it does not hold yet. */
    private static final long FAST_ASK_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long STOPPING_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final String mSelf;
    private final Map<String, Long> mStoppingUntil = new HashMap<>();
    private final Map<String, Long> mAskedAt = new HashMap<>();
    private long mEarlierAskedAt;
    private @Nullable Long mLeadingSince;

    GroupLeadership(String self, long now) {
        mSelf = self;
        mEarlierAskedAt = now;
    }

    boolean isLeading() {
        return mLeadingSince != null;
    }

    /**
     * Decides anew whether this host leads: no earlier holder is reachable, or none of them has
     * asked for this host's share for longer than {@code silenceNanos}. Each reachable one before
     * this host gets one interval more to become leader.
     */
    boolean update(List<String> holders, Predicate<String> reachable, long silenceNanos, long now) {
        long earlier =
                holders.subList(0, holders.indexOf(mSelf)).stream()
                        .filter(holder -> !isStopping(holder, now) && reachable.test(holder))
                        .count();
        long allowed = silenceNanos + (earlier - 1) * RateGroupMember.ASK_INTERVAL_NANOS;
        boolean leads = earlier == 0 || now - mEarlierAskedAt > allowed;
        if (!leads) {
            mLeadingSince = null;
        } else if (mLeadingSince == null) {
            mLeadingSince = now;
        }
        return leads;
    }

    /** Records that this host does not lead. */
    void endLeading() {
        mLeadingSince = null;
    }

    /** Records that an earlier holder asked for this host's share. */
    void onEarlierHolder(String holder, long now) {
        mEarlierAskedAt = now;
        mStoppingUntil.remove(holder);
    }

    /** Records that a holder is about to stop, and leads no longer. */
    void onStopping(String holder, long now) {
        mStoppingUntil.put(holder, now + STOPPING_NANOS);
    }

    boolean isStopping(String holder, long now) {
        Long until = mStoppingUntil.get(holder);
        return until != null && now - until < 0;
    }

    /**
     * Returns the holders to ask now, and records that they were asked.
     *
     * @param isHeld whether this host holds the share of a holder
     */
    List<String> holdersToAsk(List<String> holders, Predicate<String> isHeld, long now) {
        Long since = mLeadingSince;
        if (since == null) {
            return List.of();
        }
        boolean isNew = now - since < FAST_ASK_NANOS;
        List<String> due =
                holders.stream()
                        .filter(holder -> !holder.equals(mSelf))
                        .filter(holder -> isDue(holder, isNew && !isHeld.test(holder), now))
                        .toList();
        due.forEach(holder -> mAskedAt.put(holder, now));
        return due;
    }

    private boolean isDue(String holder, boolean fast, long now) {
        Long askedAt = mAskedAt.get(holder);
        long interval = fast ? FAST_ASK_INTERVAL_NANOS : RateGroupMember.ASK_INTERVAL_NANOS;
        return askedAt == null || now - askedAt >= interval;
    }

    /**
     * Forgets when holders were asked, so that they are asked at once when this host leads anew.
     */
    void forgetAsked() {
        mAskedAt.clear();
    }
}
