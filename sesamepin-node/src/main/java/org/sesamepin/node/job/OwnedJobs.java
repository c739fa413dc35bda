package org.sesamepin.node.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs that this host owns, by id, and those for which it is just writing that it owns them.
 * Confined to the event loop.
 */
final class OwnedJobs {
    private static final Logger LOG = LoggerFactory.getLogger(OwnedJobs.class);

    private final Map<String, OwnedJob> mJobs = new HashMap<>();
    private final Set<String> mReserved = new HashSet<>();

    /** Adds a job, unless this host has become its owner again since. */
    void add(OwnedJob job) {
        mJobs.merge(
                job.id(),
                job,
                (known, added) -> known.ownerRevision() > added.ownerRevision() ? known : added);
    }

    /**
     * Reserves a job while this host writes that it owns it, so that no second such write starts
     * meanwhile.
     *
     * @return false if this host owns the job or has reserved it already
     */
    boolean reserve(String id) {
        return !mJobs.containsKey(id) && mReserved.add(id);
    }

    /** Ends a reservation, whatever the outcome of the write. */
    void release(String id) {
        mReserved.remove(id);
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
