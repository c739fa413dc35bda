package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.spi.StoreRejectedException;
import org.sesamepin.node.spi.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends the results of owned jobs to the store, one segment of a job at a time. A segment whose
 * write has an unknown outcome is written again unchanged; if the store rejects that write, the
 * stored results show whether an earlier attempt took effect. A segment that the store rejects for
 * good is replaced by a smaller one. Confined to the event loop.
 */
final class ResultPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ResultPublisher.class);

    /** Delay before a write of unknown outcome is sent again. */
    static final long RETRY_DELAY_MS = 300;

    /**
     * Fraction of a route's limit of queued tokens by which a job's open tokens have to fall before
     * its summary is stored again.
     */
    private static final double SUMMARY_UPDATE_FRACTION = 0.04;

    /** Size below which a value is not reduced after the store has rejected it, bytes. */
    private static final int MIN_VALUE_BYTES = 16 << 10;

    private static final long MAX_REJECTED_DELAY_MS = 5_000;

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final OwnedJobs mOwnedJobs;
    private boolean mStopping;

    ResultPublisher(
            ServingContext context,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            OwnedJobs ownedJobs) {
        mContext = context;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mOwnedJobs = ownedJobs;
    }

    /** Publishes the finished results; writes that fail from now on are not repeated. */
    Future<Void> stop() {
        mStopping = true;
        List<Future<Void>> writes = mOwnedJobs.all().stream().map(this::publish).toList();
        return Future.join(writes).mapEmpty();
    }

    /**
     * Appends the results of {@code job} that are not published yet. Does nothing while a segment
     * of the job is being written.
     */
    Future<Void> publish(OwnedJob job) {
        if (job.pendingWrite() != null) {
            return Future.succeededFuture();
        }
        if (job.progress().unpublishedCount() == 0) {
            return Future.succeededFuture();
        }
        int maxValueBytes = maxValueBytes(job);
        List<JobResult> results =
                job.progress().unpublishedResults(JobStorage.groupBytes(maxValueBytes));
        JobSummary summary = job.summary();
        JobSummary updated =
                summary.withProgress(
                        summary.published() + results.size(),
                        summary.segments() + 1,
                        job.progress().openTokens());
        JobCodec.Segment segment =
                new JobCodec.Segment(mLease.incarnation(), results, job.progress().failures());
        OwnedJob.SegmentWrite write =
                new OwnedJob.SegmentWrite(
                        summary.segments(),
                        results.size(),
                        JobCodec.encodeSegment(segment),
                        maxValueBytes,
                        results.size() < job.progress().unpublishedCount(),
                        updated,
                        mustUpdateSummary(job, updated));
        job.setPendingWrite(write);
        job.setLastPublicationNanos(mContext.ticker().nanoTime());
        return append(job, write);
    }

    /** Returns the size of the largest value to write, halved by each rejected write, bytes. */
    private int maxValueBytes(OwnedJob job) {
        int halved = mStorage.maxValueBytes() >> Math.min(job.rejectedWrites(), Integer.SIZE - 2);
        return Math.max(halved, Math.min(MIN_VALUE_BYTES, mStorage.maxValueBytes()));
    }

    private Future<Void> append(OwnedJob job, OwnedJob.SegmentWrite write) {
        return mStorage.appendSegment(
                        job.id(),
                        job.ownerRevision(),
                        write.number(),
                        write.value(),
                        write.maxValueBytes(),
                        write.updatesSummary() ? write.summary() : null)
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return onAppendReply(job, write, done.result());
                            }
                            if (done.cause() instanceof StoreRejectedException rejection) {
                                return onAppendRejected(job, write, rejection);
                            }
                            LOG.warn(
                                    "step=publish job={} segment={} outcome=unknown cause={}",
                                    job.id(),
                                    write.number(),
                                    done.cause().getMessage());
                            return retryLater(job, write);
                        });
    }

    /**
     * Returns whether the summary, which every host watches, is to be stored: at the end of a job,
     * and when its open tokens have fallen so far that it matters for the limit of a customer's
     * queued tokens.
     */
    private boolean mustUpdateSummary(OwnedJob job, JobSummary updated) {
        ServingRoute route = mContext.state().config().routeByName(updated.route());
        long limit = route == null ? 0 : route.maxQueuedTokens();
        long decrease = job.reportedOpenTokens() - updated.openTokens();
        return updated.isComplete() || (limit > 0 && decrease > limit * SUMMARY_UPDATE_FRACTION);
    }

    private Future<Void> retryLater(OwnedJob job, OwnedJob.SegmentWrite write) {
        if (!mOwnedJobs.isCurrent(job)) {
            return Future.succeededFuture();
        }
        return mContext.vertx()
                .timer(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
                .compose(
                        t -> {
                            boolean shouldRetry = mOwnedJobs.isCurrent(job) && !mStopping;
                            return shouldRetry ? append(job, write) : Future.succeededFuture();
                        });
    }

    /**
     * Publishes fewer results at once and in smaller values, after a delay that grows with the
     * number of rejections.
     */
    private Future<Void> onAppendRejected(
            OwnedJob job, OwnedJob.SegmentWrite write, StoreRejectedException rejection) {
        LOG.error(
                "step=publish job={} segment={} results={} bytes={} max_value_bytes={}"
                        + " outcome=rejected cause={}",
                job.id(),
                write.number(),
                write.resultCount(),
                write.value().length,
                write.maxValueBytes(),
                rejection.getMessage());
        job.recordRejectedWrite();
        long delayMs = Math.min(MAX_REJECTED_DELAY_MS, RETRY_DELAY_MS * job.rejectedWrites());
        return mContext.vertx()
                .timer(delayMs, TimeUnit.MILLISECONDS)
                .compose(
                        t -> {
                            job.setPendingWrite(null);
                            boolean shouldRetry = mOwnedJobs.isCurrent(job) && !mStopping;
                            return shouldRetry ? publish(job) : Future.succeededFuture();
                        });
    }

    private Future<Void> onAppendReply(
            OwnedJob job, OwnedJob.SegmentWrite write, StoreResult result) {
        if (!result.committed()) {
            return mStorage.readResults(job.id())
                    .transform(
                            read -> {
                                if (read.failed()) {
                                    return retryLater(job, write);
                                }
                                resolveConflict(job, write, read.result());
                                return Future.succeededFuture();
                            });
        }
        onAppendConfirmed(job, write, write.updatesSummary() ? result.revision() : 0);
        return Future.succeededFuture();
    }

    /**
     * Handles a write whose condition did not hold: either an earlier attempt of the same write
     * took effect, or another host became the owner.
     */
    private void resolveConflict(
            OwnedJob job, OwnedJob.SegmentWrite write, JobStorage.StoredResults stored) {
        JobSummary updated = write.summary();
        boolean sameSegments = stored.segments() == updated.segments();
        boolean sameResults = sameSegments && stored.results().size() == updated.published();
        if (sameResults && endsWithResultsOf(job, write, stored)) {
            onAppendConfirmed(job, write, 0);
            return;
        }
        mOwnedJobs.remove(job, "ownership-lost");
    }

    private static boolean endsWithResultsOf(
            OwnedJob job, OwnedJob.SegmentWrite write, JobStorage.StoredResults stored) {
        List<JobResult> pending = job.progress().unpublishedResults(Integer.MAX_VALUE);
        int firstIndex = stored.results().size() - write.resultCount();
        List<JobResult> lastStored = stored.results().subList(firstIndex, stored.results().size());
        return lastStored.equals(pending.subList(0, write.resultCount()));
    }

    /**
     * Records that the store holds a segment.
     *
     * @param summaryRevision revision at which the summary was stored with it; 0 when it was not,
     *     or at an unknown revision
     */
    private void onAppendConfirmed(
            OwnedJob job, OwnedJob.SegmentWrite write, long summaryRevision) {
        if (write.updatesSummary()) {
            job.setReportedOpenTokens(write.summary().openTokens());
        }
        job.setPendingWrite(null);
        job.setSummary(write.summary());
        job.progress().recordPublished(write.resultCount());
        LOG.info(
                "step=publish job={} segment={} results={} of={}",
                job.id(),
                write.number(),
                write.summary().published(),
                write.summary().total());
        mIndex.applyOwnWrite(job.id(), write.summary(), summaryRevision);
        if (job.progress().isComplete()) {
            mOwnedJobs.remove(job, "complete");
        } else if (write.isFull() && !mStopping) {
            publish(job);
        }
    }
}
