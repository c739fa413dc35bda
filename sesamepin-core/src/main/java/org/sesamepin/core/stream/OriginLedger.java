package org.sesamepin.core.stream;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Decides for one host what it writes to the store, so that any host, also one that starts later,
 * learns which version began a stream:
 *
 * <ul>
 *   <li>Before the first event of a stream is forwarded, the store holds a statement of its
 *       version, or the stream's record. So a stream without a record began at the only stated
 *       version, if there is one.
 *   <li>A version that comes beside a stated one is stated after a delay, and its streams wait for
 *       their records until then. So streams that other hosts began before they knew of it, and
 *       could not record, are known to be of the stated version for as long as they last.
 *   <li>While streams may have begun at several versions of a service, its streams are recorded.
 *       Those that began before are recorded then, too.
 * </ul>
 *
 * <p>Not thread-safe. Moments are readings of the host's monotonic clock, nanoseconds.
 */
public final class OriginLedger {
    /** What has to be in the store before the first event of a stream is forwarded. */
    public enum Begin {
        /** Nothing more. */
        FORWARD,
        /** The statement of the version. */
        AWAIT_STATEMENT,
        /** The record of the stream. */
        AWAIT_RECORD
    }

    private final VersionsInUse mVersions = new VersionsInUse();
    private final RecentStreams mRecent;
    private final RecordJournal mJournal;
    private final Set<Set<String>> mRecordedGroups = new HashSet<>();
    private Collection<Set<String>> mGroups = List.of();

    /**
     * Creates an empty ledger.
     *
     * @param journal takes the records that are to be written
     * @param maxStreams number of streams that are remembered
     */
    public OriginLedger(RecordJournal journal, int maxStreams) {
        mJournal = journal;
        mRecent = new RecentStreams(maxStreams);
    }

    /**
     * Records the versions of the registered targets; returns those that have to be stated.
     *
     * @param groups the services of each route whose streams may be taken up: a stream without a
     *     record may have begun at any of them
     */
    public List<TargetSoftware> observeTargets(
            Collection<Set<String>> groups,
            Set<TargetSoftware> registered,
            long now,
            Retention retention) {
        mGroups = Set.copyOf(groups);
        mVersions.observeTargets(registered, now, retention.statementNanos());
        recordGroupsWithSeveral();
        return mVersions.unstated(mGroups, now, retention.delayNanos());
    }

    /** Records that targets of a version run under ids that targets of another version had. */
    public void observeReplacing(TargetSoftware version, long now) {
        mVersions.observeReplacing(version, now);
    }

    /** Records that the store has confirmed a statement, written at {@code revision}. */
    public void recordStated(TargetSoftware version, long revision, long now) {
        mVersions.recordStated(version, revision, now);
        recordGroupsWithSeveral();
    }

    /** Replaces what is known of the store by a listing. */
    public void observeStored(StoredOrigins stored, long now, Retention retention) {
        mVersions.observeStored(stored.stated(), now, retention.statementNanos());
        recordGroupsWithSeveral();
    }

    private void recordGroupsWithSeveral() {
        mRecordedGroups.retainAll(mGroups);
        for (Set<String> group : mGroups) {
            if (!mVersions.hasSeveral(group)) {
                mRecordedGroups.remove(group);
            } else if (mRecordedGroups.add(group)) {
                mRecent.recordsOf(group).forEach(mJournal::addUnlessPending);
            }
        }
    }

    /**
     * Records that a stream is about to begin, or to go on.
     *
     * @param key digest of the stream
     * @param software software of the target that sends the event
     * @return what the store has to hold before the event is forwarded
     */
    public Begin begin(long key, TargetSoftware software, long now, Retention retention) {
        StreamRecord former = mRecent.find(key);
        StreamRecord record = mRecent.add(key, software, now, retention.streamNanos());
        boolean isStated = mVersions.isStated(software, now, retention.statementNanos());
        if (!isStated) {
            mVersions.recordUse(software, now);
            recordGroupsWithSeveral();
            if (!mVersions.isDue(software, mGroups, now, retention.delayNanos())) {
                mJournal.addAwaited(record);
                return Begin.AWAIT_RECORD;
            }
        }
        boolean isNew = !record.equals(former) || mJournal.isPending(key);
        if (isNew && mustRecord(software.service())) {
            mJournal.add(record);
        }
        return isStated ? Begin.FORWARD : Begin.AWAIT_STATEMENT;
    }

    private boolean mustRecord(String service) {
        boolean isInGroup = false;
        for (Set<String> group : mGroups) {
            if (group.contains(service)) {
                isInGroup = true;
                if (mVersions.hasSeveral(group)) {
                    return true;
                }
            }
        }
        return !isInGroup;
    }

    /** Returns what this host knows of a stream that it has begun, or null for another one. */
    public @Nullable Finding findOwn(TakeUp takeUp) {
        Long key = takeUp.key();
        return key == null ? null : Finding.ofOwn(takeUp, mRecent.find(key));
    }

    /** Returns whether streams of some route may have begun at several versions. */
    public boolean hasSeveral() {
        return mGroups.stream().anyMatch(mVersions::hasSeveral);
    }

    /** Returns the versions whose statements are not needed any more. */
    public List<TargetSoftware> removable(long now, Retention retention) {
        return mVersions.removable(now, retention.statementNanos());
    }

    /**
     * Returns whether old records may be removed: those of a version that this host has not stated
     * yet are all that tells of its streams.
     */
    public boolean mayRemoveRecords() {
        return !mVersions.hasUsedUnstated();
    }

    /** Returns the records that are to be written. */
    public RecordJournal journal() {
        return mJournal;
    }
}
