package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.JobNotice;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles submissions and cancellations of jobs on any host. Confined to the event loop. */
public final class JobRequestHandler {
    /** Outcome of a submission. */
    public enum Acceptance {
        /** The job is stored and will run; this or an earlier submission was accepted. */
        ACCEPTED,
        /** The customer has too many tokens queued; no part of the job runs. */
        OVER_LIMIT,
        /** The job is larger than the store takes at once; no part of it runs. */
        TOO_LARGE,
        /** The job cannot be stored now; no part of it runs. */
        NOT_STORED,
        /** The job may or may not be stored; only another submission can find out. */
        UNKNOWN
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobRequestHandler.class);
    private static final int MAX_ACCEPT_ATTEMPTS = 6;

    /** Delay before the next attempt to store a job, in which the index receives changes. */
    private static final long RETRY_DELAY_MS = 8;

    private static final long NOTICE_TIMEOUT_MS = 250;
    private static final long NOTICE_RETRY_MS = 150;
    private static final int MAX_NOTICES = 4;

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final JobRunner mRunner;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final Runnable mFetchChanges;

    /**
     * Creates a handler.
     *
     * @param fetchChanges makes the index fetch the latest changes from the store
     */
    public JobRequestHandler(
            ServingContext context,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            JobRunner runner,
            PeerTable peers,
            PeerClient client,
            Runnable fetchChanges) {
        mContext = context;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mRunner = runner;
        mPeers = peers;
        mClient = client;
        mFetchChanges = fetchChanges;
    }

    /** Accepts a job. A job whose id was accepted before is not stored again. */
    public Future<Acceptance> accept(
            String jobId, String customer, ServingRoute route, List<JobItem> items) {
        if (!mStorage.canAccept(items)) {
            LOG.info("step=job-accept job={} items={} outcome=too-large", jobId, items.size());
            return Future.succeededFuture(Acceptance.TOO_LARGE);
        }
        boolean isReserved = mRunner.reserve(jobId);
        return tryAccept(jobId, customer, route, items, 1, false)
                .onComplete(
                        done -> {
                            if (isReserved) {
                                mRunner.release(jobId);
                            }
                        });
    }

    /**
     * Makes one attempt to store a job.
     *
     * @param attempt number of the attempt, from 1
     * @param mayBeStored whether an earlier attempt may have stored the job, so that {@link
     *     Acceptance#OVER_LIMIT} and {@link Acceptance#NOT_STORED} would be wrong
     */
    private Future<Acceptance> tryAccept(
            String jobId,
            String customer,
            ServingRoute route,
            List<JobItem> items,
            int attempt,
            boolean mayBeStored) {
        if (mIndex.summary(jobId) != null) {
            return completeAccepted(jobId, "known");
        }
        if (!mLease.isHeld()) {
            return Future.succeededFuture(mayBeStored ? Acceptance.UNKNOWN : Acceptance.NOT_STORED);
        }
        long tokens = items.stream().mapToLong(JobItem::tokens).sum();
        long queuedTokens = mIndex.openTokens(customer, route.name());
        boolean hasLimit = route.maxQueuedTokens() > 0;
        if (hasLimit && queuedTokens + tokens > route.maxQueuedTokens() && !mayBeStored) {
            LOG.info(
                    "step=job-accept job={} customer={} route={} tokens={} waiting={} limit={}"
                            + " index_revision={} outcome=over-limit",
                    jobId,
                    customer,
                    route.name(),
                    tokens,
                    queuedTokens,
                    route.maxQueuedTokens(),
                    mIndex.revision());
            return Future.succeededFuture(Acceptance.OVER_LIMIT);
        }
        JobSummary summary =
                new JobSummary(
                        customer,
                        route.name(),
                        items.size(),
                        0,
                        0,
                        tokens,
                        System.currentTimeMillis());
        long counterRevision = mIndex.acceptCounterRevision(customer, route.name());
        byte[] owner = JobCodec.encodeOwner(mLease.host(), mLease.incarnation());
        return mStorage.accept(jobId, summary, items, counterRevision, owner, mLease.id())
                .transform(
                        done -> {
                            if (done.failed()) {
                                return handleWriteFailure(
                                        jobId, customer, route, items, attempt, done.cause());
                            }
                            StoreResult result = done.result();
                            if (result.committed()) {
                                addOwnedJob(jobId, summary, items, result.revision());
                                return completeAccepted(jobId, "stored");
                            }
                            return handleConflict(
                                    jobId, customer, route, items, attempt, mayBeStored, result);
                        });
    }

    private static Future<Acceptance> completeAccepted(String jobId, String how) {
        LOG.info("step=job-accept job={} outcome=accepted how={}", jobId, how);
        return Future.succeededFuture(Acceptance.ACCEPTED);
    }

    private void addOwnedJob(String jobId, JobSummary summary, List<JobItem> items, long revision) {
        mIndex.applyOwnWrite(jobId, summary, revision);
        JobProgress progress = new JobProgress(items, List.of(), Map.of());
        mRunner.add(new OwnedJob(jobId, revision, summary, progress));
    }

    /**
     * Repeats a write that failed at the first attempt. It may have taken effect nevertheless; the
     * same conditional write finds out.
     */
    private Future<Acceptance> handleWriteFailure(
            String jobId,
            String customer,
            ServingRoute route,
            List<JobItem> items,
            int attempt,
            Throwable cause) {
        boolean notRun =
                cause instanceof SesamepinException known && known.execution() == Execution.NOT_RUN;
        LOG.warn(
                "step=job-accept job={} attempt={} not_run={} cause={}",
                jobId,
                attempt,
                notRun,
                cause.getMessage());
        if (attempt >= 2) {
            return Future.succeededFuture(notRun ? Acceptance.NOT_STORED : Acceptance.UNKNOWN);
        }
        return mContext.vertx()
                .timer(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
                .compose(
                        t ->
                                tryAccept(jobId, customer, route, items, attempt + 1, !notRun)
                                        .map(
                                                outcome ->
                                                        outcome == Acceptance.NOT_STORED && !notRun
                                                                ? Acceptance.UNKNOWN
                                                                : outcome));
    }

    private Future<Acceptance> handleConflict(
            String jobId,
            String customer,
            ServingRoute route,
            List<JobItem> items,
            int attempt,
            boolean mayBeStored,
            StoreResult result) {
        boolean exists =
                result.entries().stream()
                        .anyMatch(
                                entry ->
                                        entry.modRevision() > 0
                                                && entry.key().equals(ServingKeys.job(jobId)));
        if (exists) {
            return completeAccepted(jobId, "exists");
        }
        if (attempt >= MAX_ACCEPT_ATTEMPTS) {
            return Future.succeededFuture(mayBeStored ? Acceptance.UNKNOWN : Acceptance.NOT_STORED);
        }
        mFetchChanges.run();
        return mContext.vertx()
                .timer(RETRY_DELAY_MS * attempt, TimeUnit.MILLISECONDS)
                .compose(t -> tryAccept(jobId, customer, route, items, attempt + 1, mayBeStored));
    }

    /**
     * Returns the job's summary, or null when there is no such job. Reads it from the store when
     * this host's index does not have the job.
     */
    public Future<@Nullable JobSummary> findSummary(String jobId) {
        JobSummary indexed = mIndex.summary(jobId);
        if (indexed != null) {
            return Future.succeededFuture(indexed);
        }
        return mStorage.readSummary(jobId);
    }

    /** Cancels a job; no further item of it starts once the returned future has succeeded. */
    public Future<Void> cancel(String jobId) {
        return mStorage.markCancelled(jobId)
                .onSuccess(
                        r -> {
                            LOG.info("step=job-end job={} revision={}", jobId, r.revision());
                            notifyOwner(jobId, 1);
                        })
                .mapEmpty();
    }

    /**
     * Makes the job's owner learn of the cancellation now. The owner is read from the store, since
     * this host's index may be older than the owner; nobody can become the owner of a job that is
     * cancelled. Tried again a few times; an owner that is not reached learns by itself.
     */
    private void notifyOwner(String jobId, int attempt) {
        mStorage.readOwner(jobId)
                .compose(owner -> notify(jobId, owner))
                .onFailure(
                        e -> {
                            LOG.info(
                                    "step=job-end job={} attempt={} outcome=not-noticed cause={}",
                                    jobId,
                                    attempt,
                                    e.getMessage());
                            if (attempt < MAX_NOTICES) {
                                mContext.vertx()
                                        .setTimer(
                                                NOTICE_RETRY_MS,
                                                t -> notifyOwner(jobId, attempt + 1));
                            }
                        });
    }

    private Future<Void> notify(String jobId, JobCodec.@Nullable Owner owner) {
        if (owner == null) {
            LOG.info("step=job-end job={} outcome=no-owner", jobId);
            return Future.succeededFuture();
        }
        if (owner.host().equals(mLease.host())) {
            mRunner.fetchCancellations();
            return Future.succeededFuture();
        }
        PeerTable.Peer peer = mPeers.find(owner.host());
        if (peer == null) {
            return Future.failedFuture("no way to " + owner.host());
        }
        PeerRequest notice = PeerRequest.jobNotice(new JobNotice(jobId));
        return mClient.call(peer.address(), notice, NOTICE_TIMEOUT_MS)
                .onSuccess(
                        reply ->
                                LOG.info(
                                        "step=job-end job={} owner={} outcome=noticed",
                                        jobId,
                                        peer.name()))
                .mapEmpty();
    }
}
