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
 * event of a stream at it is forwarded, unless the stream's record is stored before; its statement
 * stays until no such stream can be taken up any more. Not thread-safe.
 *
 * <p>While another version is stated, a further one is stated only after a delay. Until then
 * streams without a record began at the version that is stated, whichever host began them.
 *
 * <p>Moments are readings of the host's monotonic clock, nanoseconds.
 */
public final class VersionsInUse {
    private static final class Usage {
        private long mFirstSeenAt;
        private boolean mRegistered;

        /** Whether streams have begun here while the version was not stated. */
        private boolean mUsed;

        /** Whether hosts may take its targets for those of another version. */
        private boolean mReplacing;

        private long mGoneAt;
        private boolean mStated;
        private boolean mStored;
        private long mRevision;
        private long mRevisionSeenAt;

        Usage(long now) {
            mFirstSeenAt = now;
            mGoneAt = now;
        }

        /** Returns whether streams may have begun at the version, as far as this host knows. */
        boolean mayHaveStreams() {
            return mStated || mStored || mUsed;
        }

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
            Usage usage = mUsages.computeIfAbsent(version, v -> new Usage(now));
            boolean wasGone = !usage.mRegistered && now - usage.mGoneAt > retentionNanos / 2;
            usage.mStated &= !wasGone;
            if (!usage.mRegistered && !usage.mayHaveStreams()) {
                usage.mFirstSeenAt = now;
            }
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

    /**
     * Records that targets of a version run under ids that targets of another one had: hosts that
     * have not learned of it take them for the former ones. So it is stated without a delay.
     */
    public void observeReplacing(TargetSoftware version, long now) {
        mUsages.computeIfAbsent(version, v -> new Usage(now)).mReplacing = true;
    }

    /** Records that a stream begins at a version that this host has not stated. */
    public void recordUse(TargetSoftware version, long now) {
        mUsages.computeIfAbsent(version, v -> new Usage(now)).mUsed = true;
    }

    /**
     * Returns the versions, of registered targets or of streams that this host began, which have to
     * be stated now.
     *
     * @param groups the services of each route whose streams may be taken up
     * @param delayNanos time for which a further version is not stated
     */
    public List<TargetSoftware> unstated(
            Collection<Set<String>> groups, long now, long delayNanos) {
        List<TargetSoftware> versions = new ArrayList<>();
        mUsages.forEach(
                (version, usage) -> {
                    boolean isInUse = usage.mRegistered || usage.mUsed;
                    if (isInUse && !usage.mStated && isDue(version, groups, now, delayNanos)) {
                        versions.add(version);
                    }
                });
        return versions;
    }

    /** Returns whether a version that this host has not stated is to be stated now. */
    public boolean isDue(
            TargetSoftware version, Collection<Set<String>> groups, long now, long delayNanos) {
        Usage usage = mUsages.get(version);
        if (usage == null || !mListed) {
            return false;
        }
        return usage.mStored
                || usage.mReplacing
                || now - usage.mFirstSeenAt >= delayNanos
                || !isOtherStated(version, groups);
    }

    /** Returns whether a stream of another version may have no record. */
    private boolean isOtherStated(TargetSoftware version, Collection<Set<String>> groups) {
        for (Map.Entry<TargetSoftware, Usage> other : mUsages.entrySet()) {
            Usage usage = other.getValue();
            boolean isStated = usage.mStated || usage.mStored;
            if (isStated && !other.getKey().equals(version)) {
                String service = other.getKey().service();
                if (groups.stream().anyMatch(g -> g.contains(service) && isIn(g, version))) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isIn(Set<String> group, TargetSoftware version) {
        return group.contains(version.service());
    }

    /** Returns whether streams have begun here at versions that this host has not stated yet. */
    public boolean hasUsedUnstated() {
        return mUsages.values().stream().anyMatch(usage -> usage.mUsed);
    }

    /**
     * Records that the store has confirmed this host's statement of a version.
     *
     * @param revision revision at which the store wrote it
     */
    public void recordStated(TargetSoftware version, long revision, long now) {
        Usage usage = mUsages.get(version);
        if (usage == null) {
            usage = new Usage(now);
            mUsages.put(version, usage);
        }
        usage.mStated = true;
        usage.mStored = true;
        usage.mUsed = false;
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
                        usage = new Usage(now);
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
                                        && !usage.mUsed
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
