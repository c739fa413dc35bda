package org.sesamepin.node.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.serving.StoreMirror;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Index of all jobs in the store: their summaries, owners and cancellations, without items and
 * results. Holds what this host has received so far. Confined to the event loop.
 */
public final class JobIndex implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

    private final Ticker mTicker;
    private final Map<String, JobSummary> mSummaries = new HashMap<>();
    private final Map<String, Long> mSummaryRevisions = new HashMap<>();
    private final Map<String, JobCodec.Owner> mOwners = new HashMap<>();
    private final Map<String, Long> mAcceptCounterRevisions = new HashMap<>();
    private final Map<String, Long> mCancellationRevisions = new HashMap<>();
    private final Set<String> mHosts = new TreeSet<>();
    private final List<Consumer<String>> mListeners = new ArrayList<>();
    private long mRevision;
    private long mUpdatedAt;

    /** Creates an empty index. */
    public JobIndex(Ticker ticker) {
        mTicker = ticker;
        mUpdatedAt = ticker.nanoTime();
    }

    /** Adds a listener that is called with a job's id after each change of the job. */
    void addChangeListener(Consumer<String> listener) {
        mListeners.add(listener);
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        Set<String> changed = new HashSet<>(mSummaries.keySet());
        mSummaries.clear();
        mSummaryRevisions.clear();
        mOwners.clear();
        mAcceptCounterRevisions.clear();
        mCancellationRevisions.clear();
        mHosts.clear();
        listing.entries().forEach(this::put);
        recordUpdate(listing.revision());
        changed.addAll(mSummaries.keySet());
        changed.forEach(this::notifyListeners);
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        Set<String> changed = new HashSet<>();
        for (StoreChange change : changes.changes()) {
            StoreEntry entry = change.entry();
            if (entry == null) {
                remove(change.key());
            } else {
                put(entry);
            }
            String jobId = jobIdOf(change.key());
            if (jobId != null) {
                changed.add(jobId);
            }
        }
        recordUpdate(changes.revision());
        changed.forEach(this::notifyListeners);
    }

    private void recordUpdate(long revision) {
        mRevision = Math.max(mRevision, revision);
        mUpdatedAt = mTicker.nanoTime();
    }

    private void notifyListeners(String jobId) {
        mListeners.forEach(listener -> listener.accept(jobId));
    }

    private static @Nullable String jobIdOf(String key) {
        for (ServingKeys.Kind kind :
                List.of(
                        ServingKeys.Kind.JOB,
                        ServingKeys.Kind.OWNER,
                        ServingKeys.Kind.CANCELLATION)) {
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
                putSummary(ServingKeys.Kind.JOB.name(key), entry);
            } else if (ServingKeys.Kind.OWNER.matches(key)) {
                mOwners.put(ServingKeys.Kind.OWNER.name(key), JobCodec.decodeOwner(entry));
            } else if (ServingKeys.Kind.CANCELLATION.matches(key)) {
                mCancellationRevisions.put(
                        ServingKeys.Kind.CANCELLATION.name(key), entry.modRevision());
            } else if (ServingKeys.Kind.ACCEPTED.matches(key)) {
                mAcceptCounterRevisions.put(key, entry.modRevision());
            } else if (ServingKeys.Kind.HOST.matches(key)) {
                mHosts.add(ServingKeys.Kind.HOST.name(key));
            }
        } catch (SesamepinException e) {
            LOG.error("step=job-index key={} outcome=unusable", key, e);
        }
    }

    private void putSummary(String jobId, StoreEntry entry) throws SesamepinException {
        if (entry.modRevision() < summaryRevision(jobId)) {
            // Older than a write of this host that was confirmed before the watch delivered this.
            return;
        }
        mSummaries.put(jobId, JobCodec.decodeSummary(entry));
        mSummaryRevisions.put(jobId, entry.modRevision());
    }

    private void remove(String key) {
        String jobId = jobIdOf(key);
        if (ServingKeys.Kind.JOB.matches(key)) {
            mSummaries.remove(jobId);
            mSummaryRevisions.remove(jobId);
        } else if (ServingKeys.Kind.OWNER.matches(key)) {
            mOwners.remove(jobId);
        } else if (ServingKeys.Kind.CANCELLATION.matches(key)) {
            mCancellationRevisions.remove(jobId);
        } else if (ServingKeys.Kind.ACCEPTED.matches(key)) {
            mAcceptCounterRevisions.remove(key);
        } else if (ServingKeys.Kind.HOST.matches(key)) {
            mHosts.remove(ServingKeys.Kind.HOST.name(key));
        }
    }

    /** Adds the cancellations that are newer than all that the watch has delivered. */
    void addCancellations(StoreListing listing) {
        for (StoreEntry entry : listing.entries()) {
            if (entry.modRevision() > mRevision) {
                String jobId = ServingKeys.Kind.CANCELLATION.name(entry.key());
                mCancellationRevisions.put(jobId, entry.modRevision());
                notifyListeners(jobId);
            }
        }
    }

    /**
     * Records the progress of a job that this host runs, before the watch delivers it.
     *
     * @param storedRevision revision at which {@code summary} was stored; 0 when it was not stored,
     *     or at an unknown revision
     */
    void applyOwnWrite(String jobId, JobSummary summary, long storedRevision) {
        JobSummary known = mSummaries.get(jobId);
        if (known == null || known.published() <= summary.published()) {
            mSummaries.put(jobId, summary);
            mSummaryRevisions.merge(jobId, storedRevision, Math::max);
            notifyListeners(jobId);
        }
    }

    @Nullable JobSummary summary(String jobId) {
        return mSummaries.get(jobId);
    }

    /** Returns the revision at which a job's summary was last stored; 0 when it is unknown. */
    long summaryRevision(String jobId) {
        return mSummaryRevisions.getOrDefault(jobId, 0L);
    }

    JobCodec.@Nullable Owner owner(String jobId) {
        return mOwners.get(jobId);
    }

    boolean isCancelled(String jobId) {
        return mCancellationRevisions.containsKey(jobId);
    }

    /** Returns the revision at which a job was cancelled; 0 when it is not cancelled. */
    long cancellationRevision(String jobId) {
        return mCancellationRevisions.getOrDefault(jobId, 0L);
    }

    /** Returns the names of the registered hosts. */
    Set<String> hosts() {
        return mHosts;
    }

    /** Returns the revision of the store up to which the index has all changes. */
    long revision() {
        return mRevision;
    }

    /** Returns how long ago the store last answered the watch of this index, milliseconds. */
    long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - mUpdatedAt);
    }

    /**
     * Returns the revision of the counter of jobs accepted for a customer on a route; 0 when there
     * is none.
     */
    long acceptCounterRevision(String customer, String route) {
        return mAcceptCounterRevisions.getOrDefault(
                ServingKeys.acceptedCounter(customer, route), 0L);
    }

    /** Returns the tokens of a customer's items on a route that are queued or running. */
    long openTokens(String customer, String route) {
        long tokens = 0;
        for (Map.Entry<String, JobSummary> entry : mSummaries.entrySet()) {
            JobSummary summary = entry.getValue();
            boolean matches = summary.customer().equals(customer) && summary.route().equals(route);
            if (matches && !isCancelled(entry.getKey())) {
                tokens += summary.openTokens();
            }
        }
        return tokens;
    }

    /** Returns the open jobs that have no owner, or whose owner is a process of {@code host}. */
    List<String> openJobsNotOwnedByOthers(String host) {
        List<String> jobs = new ArrayList<>();
        mSummaries.forEach(
                (jobId, summary) -> {
                    JobCodec.Owner owner = mOwners.get(jobId);
                    boolean ownedByOther = owner != null && !owner.host().equals(host);
                    if (!ownedByOther && !summary.isComplete() && !isCancelled(jobId)) {
                        jobs.add(jobId);
                    }
                });
        return jobs;
    }

    Map<String, JobSummary> summaries() {
        return mSummaries;
    }
}
