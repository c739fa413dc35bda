package org.sesamepin.node.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobSummary;

/**
 * A job that this host owns, with its running items and the segment of results that is being
 * written.
 */
final class OwnedJob {
    private final String mId;
    private final long mOwnerRevision;
    private final JobProgress mProgress;
    private final Map<Integer, ItemRun> mRuns = new HashMap<>();
    private final Map<Integer, Set<String>> mTargetsByItem = new HashMap<>();
    private JobSummary mSummary;
    private long mReportedOpenTokens;
    private boolean mRouteMissing;
    private long mRouteMissingSinceNanos;
    private @Nullable SegmentWrite mPendingWrite;
    private long mLastPublicationNanos;
    private int mRejectedWrites;

    /**
     * The write of a segment that was sent to the store.
     *
     * @param number number of the segment
     * @param resultCount number of results in the segment
     * @param value encoded segment
     * @param maxValueBytes size of the largest value into which the segment is split, bytes
     * @param isFull whether finished results were left out that did not fit
     * @param summary the job's summary after the write
     * @param updatesSummary whether the write also stores the summary, which every host watches
     */
    record SegmentWrite(
            int number,
            int resultCount,
            byte[] value,
            int maxValueBytes,
            boolean isFull,
            JobSummary summary,
            boolean updatesSummary) {}

    OwnedJob(String id, long ownerRevision, JobSummary summary, JobProgress progress) {
        mId = id;
        mOwnerRevision = ownerRevision;
        mSummary = summary;
        mProgress = progress;
        mReportedOpenTokens = summary.openTokens();
    }

    String id() {
        return mId;
    }

    long ownerRevision() {
        return mOwnerRevision;
    }

    JobProgress progress() {
        return mProgress;
    }

    JobSummary summary() {
        return mSummary;
    }

    void setSummary(JobSummary summary) {
        mSummary = summary;
    }

    Map<Integer, ItemRun> runs() {
        return mRuns;
    }

    /**
     * Records that an item is sent to a target.
     *
     * @param target incarnation of the target
     * @return whether this host sends the item there for the first time
     */
    boolean recordTarget(int index, String target) {
        return mTargetsByItem.computeIfAbsent(index, i -> new HashSet<>()).add(target);
    }

    /**
     * Records that the configuration does not have the job's route.
     *
     * @param nowNanos current time of the monotonic clock, nanoseconds
     * @return time since which the route is missing; {@code nowNanos} when it was there before
     */
    long markRouteMissing(long nowNanos) {
        if (!mRouteMissing) {
            mRouteMissing = true;
            mRouteMissingSinceNanos = nowNanos;
        }
        return mRouteMissingSinceNanos;
    }

    /** Records that the configuration has the job's route. */
    void clearRouteMissing() {
        mRouteMissing = false;
    }

    /** Returns the number of open tokens of the job that was last reported to all hosts. */
    long reportedOpenTokens() {
        return mReportedOpenTokens;
    }

    /** Records that {@code tokens} open tokens were reported to all hosts. */
    void setReportedOpenTokens(long tokens) {
        mReportedOpenTokens = tokens;
    }

    /** Returns the write that the store has not confirmed yet, or null. */
    @Nullable SegmentWrite pendingWrite() {
        return mPendingWrite;
    }

    /** Returns when results were last published, a reading of the monotonic clock. */
    long lastPublicationNanos() {
        return mLastPublicationNanos;
    }

    void setLastPublicationNanos(long nanos) {
        mLastPublicationNanos = nanos;
    }

    void setPendingWrite(@Nullable SegmentWrite pendingWrite) {
        mPendingWrite = pendingWrite;
    }

    /** Returns how many writes of the job's results the store has rejected for good. */
    int rejectedWrites() {
        return mRejectedWrites;
    }

    void recordRejectedWrite() {
        mRejectedWrites++;
    }

    /** Suspends all runs; their items stay open. */
    void suspendRuns() {
        for (ItemRun run : List.copyOf(mRuns.values())) {
            run.suspend();
        }
    }
}
