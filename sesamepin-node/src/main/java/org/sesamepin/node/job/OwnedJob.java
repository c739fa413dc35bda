package org.sesamepin.node.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobSummary;

/** A job that this host owns, with its running items and the segment that is being written. */
final class OwnedJob {
    private final String mId;
    private final long mOwnerRevision;
    private final JobProgress mProgress;
    private final Map<Integer, ItemRun> mRuns = new HashMap<>();
    private JobSummary mSummary;
    private long mToldTokens;
    private boolean mRouteMissing;
    private long mRouteMissingSince;
    private @Nullable Write mWrite;

    /**
     * A segment that was sent to the store.
     *
     * @param number number of the segment
     * @param results how many results it holds
     * @param value its value
     * @param summary the job's summary after it
     * @param told whether all hosts are told the summary
     */
    record Write(int number, int results, byte[] value, JobSummary summary, boolean told) {}

    OwnedJob(String id, long ownerRevision, JobSummary summary, JobProgress progress) {
        mId = id;
        mOwnerRevision = ownerRevision;
        mSummary = summary;
        mProgress = progress;
        mToldTokens = summary.openTokens();
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

    /** Returns since when the job's route is missing: {@code now} when it was not before. */
    long routeMissingSince(long now) {
        if (!mRouteMissing) {
            mRouteMissing = true;
            mRouteMissingSince = now;
        }
        return mRouteMissingSince;
    }

    /** Notes that the configuration has the job's route. */
    void routeFound() {
        mRouteMissing = false;
    }

    /** Returns the open tokens of the job as all hosts know them. */
    long toldTokens() {
        return mToldTokens;
    }

    /** Notes that all hosts know of {@code tokens} open tokens. */
    void told(long tokens) {
        mToldTokens = tokens;
    }

    /** Returns the segment that the store has not confirmed, or null. */
    @Nullable Write write() {
        return mWrite;
    }

    void setWrite(@Nullable Write write) {
        mWrite = write;
    }

    /** Cancels all runs; their items stay open. */
    void cancelRuns() {
        for (ItemRun run : List.copyOf(mRuns.values())) {
            run.suspend();
        }
    }
}
