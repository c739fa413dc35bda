package org.sesamepin.node.job;

import java.util.Map;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.node.serving.HostLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Removes jobs from the store whose results no longer have to be readable. Rendezvous hashing
 * selects the one host that removes a job.
 */
final class JobCleaner {
    private static final Logger LOG = LoggerFactory.getLogger(JobCleaner.class);

    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final long mRetentionMs;

    /**
     * Creates a cleaner.
     *
     * @param retentionMs age at which a finished job is removed, milliseconds
     */
    JobCleaner(JobStorage storage, JobIndex index, HostLease lease, long retentionMs) {
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mRetentionMs = retentionMs;
    }

    /** Removes the expired jobs that are complete or cancelled and that this host is to remove. */
    void removeExpired() {
        long nowMs = System.currentTimeMillis();
        for (Map.Entry<String, JobSummary> entry : Map.copyOf(mIndex.summaries()).entrySet()) {
            String jobId = entry.getKey();
            boolean isExpired = nowMs - entry.getValue().acceptedAtMs() > mRetentionMs;
            boolean isPreferredHost = mLease.host().equals(Rendezvous.owner(jobId, mIndex.hosts()));
            boolean isFinished = entry.getValue().isComplete() || mIndex.isCancelled(jobId);
            if (isExpired && isPreferredHost && isFinished) {
                remove(jobId);
            }
        }
    }

    private void remove(String jobId) {
        mStorage.remove(jobId, mIndex.summaryRevision(jobId))
                .onSuccess(v -> LOG.info("step=job job={} outcome=removed", jobId))
                .onFailure(
                        e ->
                                LOG.warn(
                                        "step=job job={} outcome=not-removed cause={}",
                                        jobId,
                                        e.getMessage()));
    }
}
