package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.JobRead;
import org.sesamepin.node.peer.generated.JobReadReply;
import org.sesamepin.node.peer.generated.JobResultEntry;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads results and bodies of items for requests on any host: from the host that owns the job, or
 * from the store. Confined to the event loop.
 */
public final class JobContentReader {
    /**
     * A page of a job's results.
     *
     * @param total number of items of the job
     * @param offset position of the first result in {@code results}
     * @param results results in the order of their positions
     */
    public record Page(int total, int offset, List<JobResult> results) {}

    /**
     * A read of a job's results from the store that is under way.
     *
     * @param startedAtNanos when it was begun, a reading of the monotonic clock
     * @param results the results that it finds
     */
    private record ResultLoad(long startedAtNanos, Future<List<JobResult>> results) {}

    private static final Logger LOG = LoggerFactory.getLogger(JobContentReader.class);

    /** Size of a page of results as JSON, unless its first result is larger, bytes. */
    private static final int MAX_PAGE_BYTES = 900_000;

    /** Time for a call to a job's owner, beyond the time for which the owner is asked to wait. */
    private static final long OWNER_CALL_MS = 250;

    /** Fractions of the heap that cached results and cached items may take. */
    private static final int RESULT_CACHE_HEAP_DIVISOR = 8;

    private static final int ITEM_CACHE_HEAP_DIVISOR = 16;

    /** Jobs that are read from the store at once; each needs several times its size meanwhile. */
    private static final int MAX_CONCURRENT_READS = 2;

    private static final int MAX_WAITING_READS = 256;

    /**
     * Age from which on a write of results without an answer no longer counts as under way,
     * milliseconds; less than the time after which all hosts have to show a result that one has
     * shown.
     */
    private static final long UNCONFIRMED_WRITE_MS = 300;

    /** Size of the objects of a cached result or item beside its text and body, bytes. */
    private static final int OBJECT_BYTES = 256;

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final JobRunner mRunner;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final Map<String, List<Promise<Void>>> mChangeWaiters = new HashMap<>();
    private final JobCache<List<JobResult>> mResultCache =
            new JobCache<>(Runtime.getRuntime().maxMemory() / RESULT_CACHE_HEAP_DIVISOR);
    private final JobCache<List<JobItem>> mItemCache =
            new JobCache<>(Runtime.getRuntime().maxMemory() / ITEM_CACHE_HEAP_DIVISOR);
    private final Map<String, ResultLoad> mResultLoads = new HashMap<>();
    private final CallLimiter mReads = new CallLimiter(MAX_CONCURRENT_READS, MAX_WAITING_READS);

    /** Creates a reader with empty caches. */
    public JobContentReader(
            ServingContext context,
            JobStorage storage,
            JobIndex index,
            JobRunner runner,
            PeerTable peers,
            PeerClient client) {
        mContext = context;
        mStorage = storage;
        mIndex = index;
        mRunner = runner;
        mPeers = peers;
        mClient = client;
        index.addChangeListener(this::onJobChange);
    }

    private void onJobChange(String jobId) {
        List<Promise<Void>> waiters = mChangeWaiters.remove(jobId);
        if (waiters != null) {
            waiters.forEach(promise -> promise.tryComplete());
        }
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
        List<JobResult> cached = mResultCache.get(jobId);
        if (cached != null && (cached.size() > offset || cached.size() >= summary.total())) {
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
        if (published.size() <= offset && mayBeShownByOthers(owned)) {
            return readStored(jobId, summary, offset, waitMs);
        }
        if (published.size() > offset || waitMs <= 0) {
            return Future.succeededFuture(toPage(summary, published, offset));
        }
        return awaitChange(jobId, waitMs)
                .compose(remainingMs -> readOwned(jobId, summary, offset, remainingMs));
    }

    /**
     * Returns whether the store may hold results which this host does not know to be published, for
     * so long that another host may have read and shown them.
     */
    private boolean mayBeShownByOthers(OwnedJob owned) {
        long ageNanos = mContext.ticker().nanoTime() - owned.lastPublicationNanos();
        return owned.pendingWrite() != null
                && ageNanos >= TimeUnit.MILLISECONDS.toNanos(UNCONFIRMED_WRITE_MS);
    }

    private Future<Page> readStored(String jobId, JobSummary summary, int offset, long waitMs) {
        long askedAt = mContext.ticker().nanoTime();
        ResultLoad load = loadResults(jobId);
        return load.results()
                .compose(
                        results -> {
                            boolean isFound =
                                    results.size() > offset || results.size() >= summary.total();
                            if (!isFound && load.startedAtNanos() - askedAt < 0) {
                                return readStored(jobId, summary, offset, waitMs);
                            }
                            if (isFound || waitMs <= 0 || mIndex.isCancelled(jobId)) {
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
        int count = JobResult.countWithin(results, offset, MAX_PAGE_BYTES);
        int start = Math.min(offset, results.size());
        List<JobResult> page = List.copyOf(results.subList(start, start + count));
        return new Page(summary.total(), offset, page);
    }

    /**
     * Reads all results of a job from the store; concurrent calls share one read. A read that was
     * begun before a call may lack results that were stored before the call.
     */
    private ResultLoad loadResults(String jobId) {
        ResultLoad running = mResultLoads.get(jobId);
        if (running != null) {
            return running;
        }
        Future<List<JobResult>> results =
                mReads.call(() -> mStorage.readResults(jobId))
                        .map(
                                stored -> {
                                    List<JobResult> found = stored.results();
                                    mResultCache.put(jobId, found, bytesOfResults(found));
                                    return found;
                                })
                        .onComplete(done -> mResultLoads.remove(jobId));
        ResultLoad load = new ResultLoad(mContext.ticker().nanoTime(), results);
        if (!results.isComplete()) {
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
                        : mReads.call(() -> mStorage.readItems(jobId))
                                .onSuccess(
                                        loaded ->
                                                mItemCache.put(
                                                        jobId, loaded, bytesOfItems(loaded)));
        return items.compose(
                list ->
                        loadResults(jobId)
                                .results()
                                .map(results -> unpublishedBody(list, results, itemId)));
    }

    private static long bytesOfResults(List<JobResult> results) {
        return results.stream()
                .mapToLong(
                        result -> OBJECT_BYTES + (long) Character.BYTES * result.output().length())
                .sum();
    }

    private static long bytesOfItems(List<JobItem> items) {
        long bytes = 0;
        for (JobItem item : items) {
            bytes += OBJECT_BYTES + item.body().length;
            for (Map.Entry<String, String> header : item.headers().entrySet()) {
                bytes += OBJECT_BYTES + (long) Character.BYTES * header.getValue().length();
            }
        }
        return bytes;
    }

    private static byte @Nullable [] unpublishedBody(
            List<JobItem> items, List<JobResult> results, String itemId) {
        return new JobProgress(items, results, Map.of()).unpublishedBody(itemId);
    }
}
