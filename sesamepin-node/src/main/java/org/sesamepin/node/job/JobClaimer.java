package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sesamepin.core.job.ClaimDelay;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.spi.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over open jobs that no process runs. A job whose owner is gone is claimed at first only by
 * the host that rendezvous hashing selects, and after delays by the others in turn. A job that the
 * store assigns to this process, though it does not run it, is claimed at once: the answer to the
 * write that made this process the owner was lost, or the job could not be read afterwards.
 * Confined to the event loop.
 */
final class JobClaimer {
    private static final Logger LOG = LoggerFactory.getLogger(JobClaimer.class);

    /** Jobs that are read at once after their claims; each needs several times its size. */
    private static final int MAX_CONCURRENT_LOADS = 4;

    /** Far more jobs than a host takes over at once; beyond that a job is claimed again later. */
    private static final int MAX_WAITING_LOADS = 10_000;

    /** First pause after a claim that failed, and the longest one; pauses double in between. */
    private static final long MIN_PAUSE_MS = 300;

    private static final long MAX_PAUSE_MS = 5_000;

    /** Claims of a job that failed in succession, and until when it is not claimed again. */
    private record Failures(int count, long pauseUntilNanos) {}

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final OwnedJobs mOwnedJobs;
    private final Consumer<OwnedJob> mOnClaimed;
    private final Map<String, Long> mOwnerlessSinceNanos = new HashMap<>();
    private final Map<String, Failures> mFailures = new HashMap<>();
    private final CallLimiter mLoads = new CallLimiter(MAX_CONCURRENT_LOADS, MAX_WAITING_LOADS);
    private boolean mStopping;

    JobClaimer(
            ServingContext context,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            OwnedJobs ownedJobs,
            Consumer<OwnedJob> onClaimed) {
        mContext = context;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mOwnedJobs = ownedJobs;
        mOnClaimed = onClaimed;
    }

    /** Stops claiming jobs. */
    void stop() {
        mStopping = true;
    }

    /** Claims the jobs that no process runs and that this host is to run. */
    void claimJobs() {
        if (mStopping || !mLease.isHeld() || !mContext.state().config().isKnown()) {
            return;
        }
        List<String> jobs = mIndex.openJobsNotOwnedByOthers(mLease.host());
        mOwnerlessSinceNanos.keySet().retainAll(jobs);
        mFailures.keySet().retainAll(jobs);
        for (String jobId : jobs) {
            boolean mayClaim = isAssignedHere(jobId) || mayClaimOwnerless(jobId);
            if (mayClaim && !isPaused(jobId) && mOwnedJobs.reserve(jobId)) {
                claim(jobId);
            }
        }
    }

    private boolean isPaused(String jobId) {
        Failures failures = mFailures.get(jobId);
        return failures != null && mContext.ticker().nanoTime() - failures.pauseUntilNanos() < 0;
    }

    private void recordFailure(String jobId) {
        Failures previous = mFailures.get(jobId);
        int count = previous == null ? 1 : previous.count() + 1;
        long pauseMs = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS << Math.min(count - 1, 10));
        long until = mContext.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMs);
        mFailures.put(jobId, new Failures(count, until));
    }

    /** Returns whether the store names this process as the owner of a job. */
    private boolean isAssignedHere(String jobId) {
        JobCodec.Owner owner = mIndex.owner(jobId);
        return owner != null && owner.incarnation() == mLease.incarnation();
    }

    /** Returns whether this host may claim a job that has no owner or an ended process as owner. */
    private boolean mayClaimOwnerless(String jobId) {
        long nowNanos = mContext.ticker().nanoTime();
        long sinceNanos = mOwnerlessSinceNanos.computeIfAbsent(jobId, id -> nowNanos);
        int rank = Rendezvous.rank(jobId, mLease.host(), mIndex.hosts());
        return rank == 0 || nowNanos - sinceNanos > ClaimDelay.nanos(rank);
    }

    private void claim(String jobId) {
        JobCodec.Owner previousOwner = mIndex.owner(jobId);
        long ownerRevision = previousOwner == null ? 0 : previousOwner.revision();
        long summaryRevision = mIndex.summaryRevision(jobId);
        byte[] newOwner = JobCodec.encodeOwner(mLease.host(), mLease.incarnation());
        LOG.info(
                "step=claim job={} owner={} owner_revision={} summary_revision={}"
                        + " index_revision={} outcome=started",
                jobId,
                previousOwner == null ? "-" : previousOwner.host(),
                ownerRevision,
                summaryRevision,
                mIndex.revision());
        mStorage.claim(jobId, ownerRevision, summaryRevision, newOwner, mLease.id())
                .compose(result -> onClaimReply(jobId, result))
                .onComplete(
                        done -> {
                            mOwnedJobs.release(jobId);
                            if (done.failed()) {
                                recordFailure(jobId);
                                LOG.warn(
                                        "step=claim job={} outcome=failed cause={}",
                                        jobId,
                                        done.cause().getMessage());
                            }
                        });
    }

    /**
     * Loads the job if this host is now its owner. After a conflict the index receives what the
     * store holds, and a later round decides again.
     */
    private Future<Void> onClaimReply(String jobId, StoreResult result) {
        if (result.committed()) {
            return mLoads.call(() -> loadJob(jobId, result.revision()));
        }
        LOG.info("step=claim job={} outcome=conflict", jobId);
        return Future.succeededFuture();
    }

    private Future<Void> loadJob(String jobId, long ownerRevision) {
        return Future.all(mStorage.readItems(jobId), mStorage.readResults(jobId))
                .map(
                        reads -> {
                            List<JobItem> items = reads.resultAt(0);
                            JobStorage.StoredResults results = reads.resultAt(1);
                            onJobLoaded(jobId, ownerRevision, items, results);
                            return null;
                        });
    }

    private void onJobLoaded(
            String jobId,
            long ownerRevision,
            List<JobItem> items,
            JobStorage.StoredResults results) {
        JobSummary indexed = mIndex.summary(jobId);
        boolean isCancelled = mIndex.cancellationRevision(jobId) > ownerRevision;
        if (indexed == null || isCancelled || mStopping) {
            return;
        }
        JobProgress progress = new JobProgress(items, results.results(), results.failures());
        JobSummary summary =
                indexed.withProgress(
                        results.results().size(), results.segments(), progress.openTokens());
        LOG.info(
                "step=claim job={} owner_revision={} results={} of={} outcome=owned",
                jobId,
                ownerRevision,
                summary.published(),
                summary.total());
        mFailures.remove(jobId);
        mOwnerlessSinceNanos.remove(jobId);
        mOnClaimed.accept(new OwnedJob(jobId, ownerRevision, summary, progress));
    }
}
