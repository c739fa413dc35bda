package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.spi.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends the results of owned jobs to the store, one segment of a job at a time. A segment whose
 * write was not answered is sent again as it was, and settled by reading what the store holds.
 * Confined to the event loop.
 */
final class ResultPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ResultPublisher.class);
    private static final long RETRY_MS = 300;
    private static final double TOLD_PART = 0.04;
    private static final int SEGMENT_CHARS = 600_000;

    private final ServingContext mNode;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final OwnedJobs mJobs;
    private boolean mStopping;

    ResultPublisher(
            ServingContext node,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            OwnedJobs jobs) {
        mNode = node;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mJobs = jobs;
    }

    /** Publishes what is there; writes that fail from now on are not sent again. */
    Future<Void> stop() {
        mStopping = true;
        List<Future<Void>> writes = mJobs.all().stream().map(this::publish).toList();
        return Future.join(writes).mapEmpty();
    }

    /** Appends the results of {@code job} that are not published yet. */
    Future<Void> publish(OwnedJob job) {
        if (job.write() != null) {
            return Future.succeededFuture();
        }
        List<JobResult> results = job.progress().unpublishedResults(SEGMENT_CHARS);
        if (results.isEmpty()) {
            return Future.succeededFuture();
        }
        JobSummary summary = job.summary();
        JobSummary after =
                summary.withProgress(
                        summary.published() + results.size(),
                        summary.segments() + 1,
                        job.progress().openTokens());
        JobCodec.Segment segment =
                new JobCodec.Segment(mLease.incarnation(), results, job.progress().failures());
        OwnedJob.Write write =
                new OwnedJob.Write(
                        summary.segments(),
                        results.size(),
                        JobCodec.segment(segment),
                        after,
                        isTold(job, after));
        job.setWrite(write);
        return send(job, write);
    }

    private Future<Void> send(OwnedJob job, OwnedJob.Write write) {
        return mStorage.append(
                        job.id(),
                        job.ownerRevision(),
                        write.number(),
                        write.value(),
                        write.told() ? write.summary() : null)
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return appended(job, write, done.result());
                            }
                            LOG.warn(
                                    "step=publish job={} segment={} outcome=unknown cause={}",
                                    job.id(),
                                    write.number(),
                                    done.cause().getMessage());
                            return retry(job, write);
                        });
    }

    /**
     * All hosts are told at the end of a job, and when its open tokens have fallen so far that it
     * matters for the limit of what a customer may have waiting.
     */
    private boolean isTold(OwnedJob job, JobSummary after) {
        ServingRoute route = mNode.state().config().routeByName(after.route());
        long limit = route == null ? 0 : route.maxQueuedTokens();
        long fallen = job.toldTokens() - after.openTokens();
        return after.isComplete() || (limit > 0 && fallen > limit * TOLD_PART);
    }

    private Future<Void> retry(OwnedJob job, OwnedJob.Write write) {
        if (!mJobs.isCurrent(job)) {
            return Future.succeededFuture();
        }
        return mNode.vertx()
                .timer(RETRY_MS, TimeUnit.MILLISECONDS)
                .compose(
                        t -> {
                            boolean again = mJobs.isCurrent(job) && !mStopping;
                            return again ? send(job, write) : Future.succeededFuture();
                        });
    }

    private Future<Void> appended(OwnedJob job, OwnedJob.Write write, StoreResult result) {
        if (!result.committed()) {
            return mStorage.results(job.id())
                    .transform(
                            read -> {
                                if (read.failed()) {
                                    return retry(job, write);
                                }
                                settle(job, write, read.result());
                                return Future.succeededFuture();
                            });
        }
        confirmed(job, write);
        return Future.succeededFuture();
    }

    /** A condition did not hold: an earlier try of the same write, or another owner came first. */
    private void settle(OwnedJob job, OwnedJob.Write write, JobStorage.Results stored) {
        JobSummary after = write.summary();
        boolean same = stored.segments() == after.segments();
        boolean written = same && stored.results().size() == after.published();
        if (written && isOwn(job, write, stored)) {
            confirmed(job, write);
            return;
        }
        mJobs.drop(job, "ownership-lost");
    }

    private static boolean isOwn(OwnedJob job, OwnedJob.Write write, JobStorage.Results stored) {
        List<JobResult> pending = job.progress().unpublishedResults(Integer.MAX_VALUE);
        int from = stored.results().size() - write.results();
        List<JobResult> last = stored.results().subList(from, stored.results().size());
        return last.equals(pending.subList(0, write.results()));
    }

    private void confirmed(OwnedJob job, OwnedJob.Write write) {
        if (write.told()) {
            job.told(write.summary().openTokens());
        }
        job.setWrite(null);
        job.setSummary(write.summary());
        job.progress().published(write.results());
        LOG.info(
                "step=publish job={} segment={} results={} of={}",
                job.id(),
                write.number(),
                write.summary().published(),
                write.summary().total());
        mIndex.wrote(job.id(), write.summary());
        if (job.progress().isComplete()) {
            mJobs.drop(job, "complete");
        }
    }
}
