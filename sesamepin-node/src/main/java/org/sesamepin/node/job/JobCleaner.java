package org.sesamepin.node.job;

import java.util.Map;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.node.serving.HostLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Removes jobs from the store whose results need not be readable any more; one host does each. */
final class JobCleaner {
    private static final Logger LOG = LoggerFactory.getLogger(JobCleaner.class);

    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final long mRetentionMs;

    JobCleaner(JobStorage storage, JobIndex index, HostLease lease, long retentionMs) {
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mRetentionMs = retentionMs;
    }

    /** Removes what is old enough and closed. */
    void removeOld() {
        long now = System.currentTimeMillis();
        for (Map.Entry<String, JobSummary> entry : Map.copyOf(mIndex.jobs()).entrySet()) {
            String job = entry.getKey();
            boolean old = now - entry.getValue().acceptedAtMs() > mRetentionMs;
            boolean mine = mLease.host().equals(Rendezvous.owner(job, mIndex.hosts()));
            boolean closed = entry.getValue().isComplete() || mIndex.isEnded(job);
            if (old && mine && closed) {
                remove(job);
            }
        }
    }

    private void remove(String job) {
        mStorage.remove(job)
                .onSuccess(v -> LOG.info("step=job job={} outcome=removed", job))
                .onFailure(
                        e ->
                                LOG.warn(
                                        "step=job job={} outcome=not-removed cause={}",
                                        job,
                                        e.getMessage()));
    }
}
