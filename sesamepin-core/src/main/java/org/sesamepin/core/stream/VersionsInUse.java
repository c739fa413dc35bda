package org.sesamepin.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * The versions of the services as one host knows them: which have registered targets, which this
 * host has stated in the store, and which the store lists. A version is stated before the first
 * event of a stream at it is forwarded, and its statement stays until no such stream can be taken
 * up any more. Not thread-safe.
 *
 * <p>Moments are readings of the host's monotonic clock, nanoseconds.
 */
public final class VersionsInUse {
    private static final class Usage {
        private boolean mRegistered;
        private long mGoneAt;
        private boolean mStated;
        private boolean mStored;
        private long mRevision;
        private long mRevisionSeenAt;

        void observeRevision(long revision, long now) {
            if (revision > mRevision) {
                mRevision = revision;
                mRevisionSeenAt = now;
            }
        }
    }

    private final Map<TargetSoftware, Usage> mUsages = new HashMap<>();
    private boolean mListed;

    /** Creates an empty table. */
    public VersionsInUse() {}

    /**
     * Records which versions the registered targets have.
     *
     * @param retentionNanos how long a statement is kept after the last target has gone; a version
     *     that was gone for half of it is stated anew
     */
    public void observeTargets(Set<TargetSoftware> registered, long now, long retentionNanos) {
        for (TargetSoftware version : registered) {
            Usage usage = mUsages.computeIfAbsent(version, v -> new Usage());
            boolean wasGone = !usage.mRegistered && now - usage.mGoneAt > retentionNanos / 2;
            usage.mStated &= !wasGone;
            usage.mRegistered = true;
        }
        mUsages.forEach(
                (version, usage) -> {
                    if (usage.mRegistered && !registered.contains(version)) {
                        usage.mRegistered = false;
                        usage.mGoneAt = now;
                    }
                });
    }

    /** Returns the versions with targets that this host has not stated. */
    public List<TargetSoftware> unstated() {
        List<TargetSoftware> versions = new ArrayList<>();
        mUsages.forEach(
                (version, usage) -> {
                    if (usage.mRegistered && !usage.mStated) {
                        versions.add(version);
                    }
                });
        return versions;
    }

    /**
     * Records that the store has confirmed this host's statement of a version.
     *
     * @param revision revision at which the store wrote it
     */
    public void recordStated(TargetSoftware version, long revision, long now) {
        Usage usage = mUsages.get(version);
        if (usage == null) {
            usage = new Usage();
            usage.mGoneAt = now;
            mUsages.put(version, usage);
        }
        usage.mStated = true;
        usage.mStored = true;
        usage.observeRevision(revision, now);
    }

    /**
     * Returns whether streams may begin at a version: this host has stated it, and its targets have
     * not been gone for so long that the statement may be removed.
     */
    public boolean isStated(TargetSoftware version, long now, long retentionNanos) {
        Usage usage = mUsages.get(version);
        if (usage == null || !usage.mStated) {
            return false;
        }
        return usage.mRegistered || now - usage.mGoneAt <= retentionNanos / 2;
    }

    /**
     * Replaces what is known of the store's statements by a whole listing of them.
     *
     * @param stored the stated versions with the revisions of their statements
     */
    public void observeStored(Map<TargetSoftware, Long> stored, long now, long retentionNanos) {
        mListed = true;
        stored.forEach(
                (version, revision) -> {
                    Usage usage = mUsages.get(version);
                    if (usage == null) {
                        usage = new Usage();
                        usage.mGoneAt = now;
                        mUsages.put(version, usage);
                    }
                    usage.observeRevision(revision, now);
                });
        mUsages.forEach(
                (version, usage) -> {
                    usage.mStored = stored.containsKey(version);
                    usage.mStated &= usage.mStored;
                });
        mUsages.values()
                .removeIf(
                        usage ->
                                !usage.mRegistered
                                        && !usage.mStored
                                        && now - usage.mGoneAt >= retentionNanos);
    }

    /**
     * Returns whether streams of {@code services} that can still be taken up may have begun at
     * several versions, as far as this host knows.
     */
    public boolean hasSeveral(Collection<String> services) {
        return !mListed
                || mUsages.keySet().stream().filter(v -> services.contains(v.service())).count()
                        > 1;
    }

    /**
     * Returns the stated versions whose last target has gone long enough ago, and whose statements
     * no host has written for half of that time: a host that sees a version return after a longer
     * absence writes its statement anew, while this host may not see the targets yet.
     */
    public List<TargetSoftware> removable(long now, long retentionNanos) {
        List<TargetSoftware> versions = new ArrayList<>();
        mUsages.forEach(
                (version, usage) -> {
                    boolean isOld = now - usage.mGoneAt >= retentionNanos;
                    boolean isUnchanged = now - usage.mRevisionSeenAt >= retentionNanos / 2;
                    if (usage.mStored && !usage.mRegistered && isOld && isUnchanged) {
                        versions.add(version);
                    }
                });
        return versions;
    }
}
