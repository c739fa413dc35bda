package org.sesamepin.node.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The jobs that this host owns, by id. Confined to the event loop. */
final class OwnedJobs {
    private static final Logger LOG = LoggerFactory.getLogger(OwnedJobs.class);

    private final Map<String, OwnedJob> mJobs = new HashMap<>();

    void add(OwnedJob job) {
        mJobs.put(job.id(), job);
    }

    @Nullable OwnedJob get(String id) {
        return mJobs.get(id);
    }

    boolean isEmpty() {
        return mJobs.isEmpty();
    }

    Collection<OwnedJob> all() {
        return List.copyOf(mJobs.values());
    }

    /** Returns whether this host still owns {@code job} and has not loaded it again since. */
    boolean isCurrent(OwnedJob job) {
        return mJobs.get(job.id()) == job;
    }

    /**
     * Ends the ownership of a job on this host and suspends its runs.
     *
     * @param reason outcome that is logged
     */
    void remove(OwnedJob job, String reason) {
        if (mJobs.remove(job.id(), job)) {
            job.suspendRuns();
            LOG.info("step=job job={} outcome={}", job.id(), reason);
        }
    }
}
