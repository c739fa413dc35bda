package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over open jobs whose owner is gone. At first, only the host that rendezvous hashing selects
 * claims a job; after a delay any host does. Confined to the event loop.
 */
final class JobClaimer {
    private static final Logger LOG = LoggerFactory.getLogger(JobClaimer.class);
    private static final long ANY_HOST_CLAIM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final OwnedJobs mOwnedJobs;
    private final Consumer<OwnedJob> mOnClaimed;
    private final Set<String> mPendingClaims = new HashSet<>();
    private final Map<String, Long> mOwnerlessSinceNanos = new HashMap<>();
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

    /** Claims the jobs without an owner that this host is to take over. */
    void claimOwnerless() {
        if (mStopping || !mLease.isHeld() || !mContext.state().config().isKnown()) {
            return;
        }
        List<String> ownerless = mIndex.ownerlessJobs(mLease.host(), mLease.incarnation());
        mOwnerlessSinceNanos.keySet().retainAll(ownerless);
        long nowNanos = mContext.ticker().nanoTime();
        for (String jobId : ownerless) {
            long sinceNanos = mOwnerlessSinceNanos.computeIfAbsent(jobId, id -> nowNanos);
            boolean isPreferredHost = mLease.host().equals(Rendezvous.owner(jobId, mIndex.hosts()));
            boolean anyHostMayClaim = nowNanos - sinceNanos > ANY_HOST_CLAIM_DELAY_NANOS;
            if ((isPreferredHost || anyHostMayClaim)
                    && mOwnedJobs.get(jobId) == null
                    && mPendingClaims.add(jobId)) {
                claim(jobId);
            }
        }
    }

    private void claim(String jobId) {
        JobCodec.Owner previousOwner = mIndex.owner(jobId);
        long revision = previousOwner == null ? 0 : previousOwner.revision();
        byte[] newOwner = JobCodec.encodeOwner(mLease.host(), mLease.incarnation());
        mStorage.claim(jobId, revision, newOwner, mLease.id())
                .compose(
                        result ->
                                result.committed()
                                        ? loadJob(jobId, result.revision())
                                        : Future.succeededFuture())
                .onComplete(
                        done -> {
                            mPendingClaims.remove(jobId);
                            if (done.failed()) {
                                LOG.warn(
                                        "step=claim job={} outcome=failed cause={}",
                                        jobId,
                                        done.cause().getMessage());
                            }
                        });
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
        if (indexed == null || mIndex.isCancelled(jobId) || mStopping) {
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
        mOnClaimed.accept(new OwnedJob(jobId, ownerRevision, summary, progress));
    }
}
