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
 * Takes over open jobs whose owner is gone: each is claimed first by the host that rendezvous
 * hashing names, after a while by any. Confined to the event loop.
 */
final class JobClaims {
    private static final Logger LOG = LoggerFactory.getLogger(JobClaims.class);
    private static final long ANY_HOST_CLAIMS_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final ServingContext mNode;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final OwnedJobs mJobs;
    private final Consumer<OwnedJob> mOnClaimed;
    private final Set<String> mClaiming = new HashSet<>();
    private final Map<String, Long> mOwnerlessSince = new HashMap<>();
    private boolean mStopping;

    JobClaims(
            ServingContext node,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            OwnedJobs jobs,
            Consumer<OwnedJob> onClaimed) {
        mNode = node;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mJobs = jobs;
        mOnClaimed = onClaimed;
    }

    /** Claims nothing from now on. */
    void stop() {
        mStopping = true;
    }

    /** Claims the jobs without an owner that are this host's to take over. */
    void claimOwnerless() {
        if (mStopping || !mLease.isHeld() || !mNode.state().config().isKnown()) {
            return;
        }
        List<String> ownerless = mIndex.ownerless(mLease.host(), mLease.incarnation());
        mOwnerlessSince.keySet().retainAll(ownerless);
        long now = mNode.ticker().nanoTime();
        for (String job : ownerless) {
            long since = mOwnerlessSince.computeIfAbsent(job, id -> now);
            boolean mine = mLease.host().equals(Rendezvous.owner(job, mIndex.hosts()));
            boolean anyHost = now - since > ANY_HOST_CLAIMS_NANOS;
            if ((mine || anyHost) && mJobs.get(job) == null && mClaiming.add(job)) {
                claim(job);
            }
        }
    }

    private void claim(String job) {
        JobCodec.Owner former = mIndex.owner(job);
        long revision = former == null ? 0 : former.revision();
        byte[] self = JobCodec.owner(mLease.host(), mLease.incarnation());
        mStorage.claim(job, revision, self, mLease.id())
                .compose(
                        result ->
                                result.committed()
                                        ? load(job, result.revision())
                                        : Future.succeededFuture())
                .onComplete(
                        done -> {
                            mClaiming.remove(job);
                            if (done.failed()) {
                                LOG.warn(
                                        "step=claim job={} outcome=failed cause={}",
                                        job,
                                        done.cause().getMessage());
                            }
                        });
    }

    private Future<Void> load(String id, long ownerRevision) {
        return Future.all(mStorage.items(id), mStorage.results(id))
                .map(
                        both -> {
                            List<JobItem> items = both.resultAt(0);
                            JobStorage.Results results = both.resultAt(1);
                            loaded(id, ownerRevision, items, results);
                            return null;
                        });
    }

    private void loaded(
            String id, long ownerRevision, List<JobItem> items, JobStorage.Results results) {
        JobSummary known = mIndex.job(id);
        if (known == null || mIndex.isEnded(id) || mStopping) {
            return;
        }
        JobProgress progress = new JobProgress(items, results.results(), results.failures());
        JobSummary summary =
                known.withProgress(
                        results.results().size(), results.segments(), progress.openTokens());
        LOG.info(
                "step=claim job={} owner_revision={} results={} of={} outcome=owned",
                id,
                ownerRevision,
                summary.published(),
                summary.total());
        mOnClaimed.accept(new OwnedJob(id, ownerRevision, summary, progress));
    }
}
