package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.JobNotice;
import org.sesamepin.node.peer.generated.JobRead;
import org.sesamepin.node.peer.generated.JobReadReply;
import org.sesamepin.node.peer.generated.JobResultEntry;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles requests about jobs on any host: submission, results, bodies of items and cancellation.
 * Results come from the host that owns the job, or from the store. Confined to the event loop.
 */
public final class JobRequestHandler {
    /** Outcome of a submission. */
    public enum Acceptance {
        /** The job is stored and will run; this or an earlier submission was accepted. */
        ACCEPTED,
        /** The customer has too many tokens queued; no part of the job runs. */
        OVER_LIMIT,
        /** The job cannot be stored now; no part of it runs. */
        NOT_STORED,
        /** The job may or may not be stored; only another submission can find out. */
        UNKNOWN
    }

    /**
     * A page of a job's results.
     *
     * @param total number of items of the job
     * @param offset position of the first result in {@code results}
     * @param results results in the order of their positions
     */
    public record Page(int total, int offset, List<JobResult> results) {}

    private static final Logger LOG = LoggerFactory.getLogger(JobRequestHandler.class);
    private static final int MAX_ACCEPT_ATTEMPTS = 6;

    /** Delay before the next attempt to store a job, in which the index receives changes. */
    private static final long RETRY_DELAY_MS = 8;

    private static final int MAX_PAGE_CHARS = 700_000;

    /** Time for a call to a job's owner, beyond the time for which the owner is asked to wait. */
    private static final long OWNER_CALL_MS = 250;

    private static final int MAX_CACHED_JOBS = 64;

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final JobRunner mRunner;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final Runnable mFetchChanges;
    private final Map<String, List<Promise<Void>>> mChangeWaiters = new HashMap<>();
    private final Map<String, List<JobResult>> mResultCache = newJobCache();
    private final Map<String, List<JobItem>> mItemCache = newJobCache();
    private final Map<String, Future<List<JobResult>>> mResultLoads = new HashMap<>();

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
        index.addChangeListener(this::onJobChange);
    }

    private static <T> Map<String, T> newJobCache() {
        return new LinkedHashMap<>(MAX_CACHED_JOBS, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > MAX_CACHED_JOBS;
            }
        };
    }

    private void onJobChange(String jobId) {
        List<Promise<Void>> waiters = mChangeWaiters.remove(jobId);
        if (waiters != null) {
            waiters.forEach(promise -> promise.tryComplete());
        }
    }

    /** Accepts a job. A job whose id was accepted before is not stored again. */
    public Future<Acceptance> accept(
            String jobId, String customer, ServingRoute route, List<JobItem> items) {
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

    /**
     * Returns results from position {@code offset} on, and waits up to {@code waitMs} milliseconds
     * for the first of them. The page is empty when that time has elapsed, or when the job is
     * complete or cancelled and has no further results.
     */
    public Future<Page> readResults(String jobId, JobSummary summary, int offset, long waitMs) {
        if (mRunner.ownedJob(jobId) != null) {
            return readOwned(jobId, summary, offset, waitMs);
        }
        List<JobResult> cached = mResultCache.getOrDefault(jobId, List.of());
        if (cached.size() > offset || cached.size() >= summary.total()) {
            return Future.succeededFuture(toPage(summary, cached, offset));
        }
        JobCodec.Owner owner = mIndex.owner(jobId);
        PeerTable.Peer peer = owner == null ? null : mPeers.find(owner.host());
        if (peer == null || mIndex.isCancelled(jobId)) {
            return readStored(jobId, summary, offset, waitMs);
        }
        return requestFromOwner(peer, jobId, offset, waitMs)
                .compose(
                        reply -> {
                            if (!reply.isOwner()) {
                                return readStored(jobId, summary, offset, waitMs);
                            }
                            return Future.succeededFuture(
                                    new Page(reply.getTotal(), offset, toResults(reply)));
                        })
                .recover(
                        e -> {
                            LOG.info(
                                    "step=job-read job={} owner={} outcome=no-answer cause={}",
                                    jobId,
                                    peer.name(),
                                    e.getMessage());
                            return readStored(jobId, summary, offset, 0);
                        });
    }

    private Future<JobReadReply> requestFromOwner(
            PeerTable.Peer peer, String jobId, int offset, long waitMs) {
        PeerRequest request = PeerRequest.jobRead(new JobRead(jobId, offset, waitMs));
        return mClient.call(peer.address(), request, waitMs + OWNER_CALL_MS)
                .map(PeerReply::getJobRead);
    }

    private static List<JobResult> toResults(JobReadReply reply) {
        List<JobResult> results = new ArrayList<>();
        for (JobResultEntry entry : reply.getResults()) {
            results.add(new JobResult(entry.getItemId(), entry.isDone(), entry.getOutput()));
        }
        return results;
    }

    /**
     * Handles another host's request for results of a job that this host owns. The reply says so
     * when this host is not the owner.
     */
    public Future<PeerReply> handleJobRead(JobRead read) {
        OwnedJob owned = mRunner.ownedJob(read.getJobId());
        if (owned == null) {
            return Future.succeededFuture(PeerReply.jobRead(new JobReadReply(false, 0, List.of())));
        }
        return readOwned(read.getJobId(), owned.summary(), read.getAfter(), read.getWaitMs())
                .map(
                        page -> {
                            List<JobResultEntry> entries = new ArrayList<>();
                            for (JobResult result : page.results()) {
                                entries.add(
                                        new JobResultEntry(
                                                result.id(), result.completed(), result.output()));
                            }
                            return PeerReply.jobRead(new JobReadReply(true, page.total(), entries));
                        });
    }

    private Future<Page> readOwned(String jobId, JobSummary summary, int offset, long waitMs) {
        OwnedJob owned = mRunner.ownedJob(jobId);
        if (owned == null) {
            return readStored(jobId, summary, offset, 0);
        }
        List<JobResult> published = owned.progress().publishedResults();
        if (published.size() > offset || waitMs <= 0) {
            return Future.succeededFuture(toPage(summary, published, offset));
        }
        return awaitChange(jobId, waitMs)
                .compose(remainingMs -> readOwned(jobId, summary, offset, remainingMs));
    }

    private Future<Page> readStored(String jobId, JobSummary summary, int offset, long waitMs) {
        return loadResults(jobId)
                .compose(
                        results -> {
                            boolean noMoreResults =
                                    results.size() >= summary.total() || mIndex.isCancelled(jobId);
                            if (results.size() > offset || waitMs <= 0 || noMoreResults) {
                                return Future.succeededFuture(toPage(summary, results, offset));
                            }
                            return awaitChange(jobId, waitMs)
                                    .compose(remainingMs -> readStored(jobId, summary, offset, 0));
                        });
    }

    /** Waits up to {@code waitMs} for a change of the job; returns the milliseconds that remain. */
    private Future<Long> awaitChange(String jobId, long waitMs) {
        long startNanos = mContext.ticker().nanoTime();
        Promise<Void> change = Promise.promise();
        mChangeWaiters.computeIfAbsent(jobId, id -> new ArrayList<>()).add(change);
        long timer = mContext.vertx().setTimer(waitMs, t -> change.tryComplete());
        return change.future()
                .map(
                        v -> {
                            mContext.vertx().cancelTimer(timer);
                            List<Promise<Void>> waiters = mChangeWaiters.get(jobId);
                            if (waiters != null) {
                                waiters.remove(change);
                            }
                            long waitedNanos = mContext.ticker().nanoTime() - startNanos;
                            return waitMs - TimeUnit.NANOSECONDS.toMillis(waitedNanos);
                        });
    }

    private static Page toPage(JobSummary summary, List<JobResult> results, int offset) {
        List<JobResult> page = new ArrayList<>();
        int chars = 0;
        for (int i = offset; i < results.size(); i++) {
            chars += results.get(i).output().length();
            if (!page.isEmpty() && chars > MAX_PAGE_CHARS) {
                break;
            }
            page.add(results.get(i));
        }
        return new Page(summary.total(), offset, page);
    }

    /** Reads all results of a job from the store; concurrent calls share one read. */
    private Future<List<JobResult>> loadResults(String jobId) {
        Future<List<JobResult>> loading = mResultLoads.get(jobId);
        if (loading != null) {
            return loading;
        }
        Future<List<JobResult>> load =
                mStorage.readResults(jobId)
                        .map(
                                stored -> {
                                    mResultCache.put(jobId, stored.results());
                                    return stored.results();
                                })
                        .onComplete(done -> mResultLoads.remove(jobId));
        if (!load.isComplete()) {
            mResultLoads.put(jobId, load);
        }
        return load;
    }

    /**
     * Returns the body of an item, or null when the item is unknown, its result is published or the
     * job is cancelled.
     */
    public Future<byte @Nullable []> readItemBody(String jobId, String itemId) {
        if (mIndex.isCancelled(jobId)) {
            return Future.succeededFuture(null);
        }
        OwnedJob owned = mRunner.ownedJob(jobId);
        if (owned != null) {
            return Future.succeededFuture(owned.progress().unpublishedBody(itemId));
        }
        List<JobItem> cached = mItemCache.get(jobId);
        Future<List<JobItem>> items =
                cached != null
                        ? Future.succeededFuture(cached)
                        : mStorage.readItems(jobId)
                                .onSuccess(loaded -> mItemCache.put(jobId, loaded));
        return items.compose(
                list -> loadResults(jobId).map(results -> unpublishedBody(list, results, itemId)));
    }

    private static byte @Nullable [] unpublishedBody(
            List<JobItem> items, List<JobResult> results, String itemId) {
        return new JobProgress(items, results, Map.of()).unpublishedBody(itemId);
    }

    /** Cancels a job; no further item of it starts once the returned future has succeeded. */
    public Future<Void> cancel(String jobId) {
        return mStorage.markCancelled(jobId)
                .onSuccess(
                        r -> {
                            LOG.info("step=job-end job={} revision={}", jobId, r.revision());
                            notifyOwner(jobId);
                        })
                .mapEmpty();
    }

    /**
     * Makes the job's owner fetch the latest changes of its jobs now. This host fetches them itself
     * when the owner is none of its peers.
     */
    private void notifyOwner(String jobId) {
        JobCodec.Owner owner = mIndex.owner(jobId);
        PeerTable.Peer peer = owner == null ? null : mPeers.find(owner.host());
        if (peer == null) {
            mFetchChanges.run();
            return;
        }
        mClient.call(peer.address(), PeerRequest.jobNotice(new JobNotice(jobId)), OWNER_CALL_MS)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=job-end job={} owner={} outcome=not-noticed cause={}",
                                        jobId,
                                        peer.name(),
                                        e.getMessage()));
    }
}
