package org.sesamepin.node.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.serving.StoreMirror;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the store holds of all jobs but their content, as far as this host has heard. Confined to
 * the event loop.
 */
public final class JobIndex implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

    private final Map<String, JobSummary> mJobs = new HashMap<>();
    private final Map<String, JobCodec.Owner> mOwners = new HashMap<>();
    private final Map<String, Long> mAccepted = new HashMap<>();
    private final Set<String> mEnded = new HashSet<>();
    private final Set<String> mHosts = new TreeSet<>();
    private final List<Consumer<String>> mListeners = new ArrayList<>();
    private long mRevision;

    /** Registers what runs with a job's id after each change of the job. */
    void onChange(Consumer<String> listener) {
        mListeners.add(listener);
    }

    @Override
    public void listed(StoreListing listing, boolean afterOutage) {
        Set<String> changed = new HashSet<>(mJobs.keySet());
        mJobs.clear();
        mOwners.clear();
        mAccepted.clear();
        mEnded.clear();
        mHosts.clear();
        listing.entries().forEach(this::put);
        mRevision = Math.max(mRevision, listing.revision());
        changed.addAll(mJobs.keySet());
        changed.forEach(this::tell);
    }

    @Override
    public void changed(StoreChanges changes, boolean afterOutage) {
        Set<String> changed = new HashSet<>();
        for (StoreChange change : changes.changes()) {
            StoreEntry entry = change.entry();
            if (entry == null) {
                remove(change.key());
            } else {
                put(entry);
            }
            String job = jobOf(change.key());
            if (job != null) {
                changed.add(job);
            }
        }
        mRevision = Math.max(mRevision, changes.revision());
        changed.forEach(this::tell);
    }

    private void tell(String job) {
        mListeners.forEach(listener -> listener.accept(job));
    }

    private static @Nullable String jobOf(String key) {
        for (ServingKeys.Kind kind :
                List.of(ServingKeys.Kind.JOB, ServingKeys.Kind.OWNER, ServingKeys.Kind.END)) {
            if (kind.matches(key)) {
                return kind.name(key);
            }
        }
        return null;
    }

    private void put(StoreEntry entry) {
        String key = entry.key();
        try {
            if (ServingKeys.Kind.JOB.matches(key)) {
                mJobs.put(ServingKeys.Kind.JOB.name(key), JobCodec.summary(entry));
            } else if (ServingKeys.Kind.OWNER.matches(key)) {
                mOwners.put(ServingKeys.Kind.OWNER.name(key), JobCodec.owner(entry));
            } else if (ServingKeys.Kind.END.matches(key)) {
                mEnded.add(ServingKeys.Kind.END.name(key));
            } else if (ServingKeys.Kind.ACCEPTED.matches(key)) {
                mAccepted.put(key, entry.modRevision());
            } else if (ServingKeys.Kind.HOST.matches(key)) {
                mHosts.add(ServingKeys.Kind.HOST.name(key));
            }
        } catch (SesamepinException e) {
            LOG.error("step=job-index key={} outcome=unusable", key, e);
        }
    }

    private void remove(String key) {
        String job = jobOf(key);
        if (ServingKeys.Kind.JOB.matches(key)) {
            mJobs.remove(job);
        } else if (ServingKeys.Kind.OWNER.matches(key)) {
            mOwners.remove(job);
        } else if (ServingKeys.Kind.END.matches(key)) {
            mEnded.remove(job);
        } else if (ServingKeys.Kind.ACCEPTED.matches(key)) {
            mAccepted.remove(key);
        } else if (ServingKeys.Kind.HOST.matches(key)) {
            mHosts.remove(ServingKeys.Kind.HOST.name(key));
        }
    }

    /** Takes in what this host itself wrote, before the watch brings it. */
    void wrote(String job, JobSummary summary) {
        JobSummary known = mJobs.get(job);
        if (known == null || known.published() <= summary.published()) {
            mJobs.put(job, summary);
            tell(job);
        }
    }

    @Nullable JobSummary job(String job) {
        return mJobs.get(job);
    }

    JobCodec.@Nullable Owner owner(String job) {
        return mOwners.get(job);
    }

    boolean isEnded(String job) {
        return mEnded.contains(job);
    }

    /** Returns the names of the registered hosts. */
    Set<String> hosts() {
        return mHosts;
    }

    /** Returns the revision up to which everything is known. */
    long revision() {
        return mRevision;
    }

    /** Returns the revision of the counter of accepted jobs; 0 when there is none. */
    long acceptedRevision(String customer, String route) {
        return mAccepted.getOrDefault(ServingKeys.accepted(customer, route), 0L);
    }

    /** Returns the tokens of a customer's items on a route that wait or run. */
    long openTokens(String customer, String route) {
        long tokens = 0;
        for (Map.Entry<String, JobSummary> entry : mJobs.entrySet()) {
            JobSummary job = entry.getValue();
            boolean counts = job.customer().equals(customer) && job.route().equals(route);
            if (counts && !mEnded.contains(entry.getKey())) {
                tokens += job.openTokens();
            }
        }
        return tokens;
    }

    /** Returns the jobs that have open items, are not ended and have no owner. */
    List<String> ownerless(String self, long incarnation) {
        List<String> ownerless = new ArrayList<>();
        mJobs.forEach(
                (id, job) -> {
                    JobCodec.Owner owner = mOwners.get(id);
                    boolean formerSelf =
                            owner != null
                                    && owner.host().equals(self)
                                    && owner.incarnation() != incarnation;
                    boolean free = owner == null || formerSelf;
                    if (free && !job.isComplete() && !mEnded.contains(id)) {
                        ownerless.add(id);
                    }
                });
        return ownerless;
    }

    Map<String, JobSummary> jobs() {
        return mJobs;
    }
}
