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

/** Answers what callers ask about jobs, on any host. Confined to the event loop. */
public final class JobRequestHandler {
    /** Answer to a submission. */
    public enum Acceptance {
        /** The job is this product's to keep, now or since an earlier submission. */
        ACCEPTED,
        /** The customer has too many tokens waiting; no part of the job runs. */
        OVER_LIMIT,
        /** No part of the job runs, since nothing can be stored now. */
        NOT_STORED,
        /** The job may be stored; only a repeated submission tells. */
        UNKNOWN
    }

    /**
     * A part of a job's results.
     *
     * @param total number of items of the job
     * @param offset position of the first result in {@code results}
     * @param results results in the order of their positions
     */
    public record Page(int total, int offset, List<JobResult> results) {}

    private static final Logger LOG = LoggerFactory.getLogger(JobRequestHandler.class);
    private static final int MAX_TRIES = 6;
    private static final long INDEX_POLL_MS = 8;
    private static final int PAGE_CHARS = 700_000;
    private static final long OWNER_MARGIN_MS = 250;
    private static final int CACHED_JOBS = 64;

    private final ServingContext mNode;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final JobRunner mOwner;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final Runnable mCatchUp;
    private final Map<String, List<Promise<Void>>> mWaiting = new HashMap<>();
    private final Map<String, List<JobResult>> mResults = cache();
    private final Map<String, List<JobItem>> mItems = cache();
    private final Map<String, Future<List<JobResult>>> mLoading = new HashMap<>();

    /**
     * Creates a desk.
     *
     * @param catchUp makes the index take the latest changes of the store
     */
    public JobRequestHandler(
            ServingContext node,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            JobRunner owner,
            PeerTable peers,
            PeerClient client,
            Runnable catchUp) {
        mNode = node;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mOwner = owner;
        mPeers = peers;
        mClient = client;
        mCatchUp = catchUp;
        index.onChange(this::changed);
    }

    private static <T> Map<String, T> cache() {
        return new LinkedHashMap<>(CACHED_JOBS, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > CACHED_JOBS;
            }
        };
    }

    private void changed(String job) {
        List<Promise<Void>> waiting = mWaiting.remove(job);
        if (waiting != null) {
            waiting.forEach(promise -> promise.tryComplete());
        }
    }

    /** Accepts a job once, however often it is submitted. */
    public Future<Acceptance> accept(
            String job, String customer, ServingRoute route, List<JobItem> items) {
        return accept(job, customer, route, items, 1, false);
    }

    private Future<Acceptance> accept(
            String job,
            String customer,
            ServingRoute route,
            List<JobItem> items,
            int attempt,
            boolean inDoubt) {
        if (mIndex.job(job) != null) {
            return accepted(job, "known");
        }
        if (!mLease.isHeld()) {
            return Future.succeededFuture(inDoubt ? Acceptance.UNKNOWN : Acceptance.NOT_STORED);
        }
        long tokens = items.stream().mapToLong(JobItem::tokens).sum();
        long waiting = mIndex.openTokens(customer, route.name());
        boolean limited = route.queuedTokens() > 0;
        if (limited && waiting + tokens > route.queuedTokens() && !inDoubt) {
            LOG.info(
                    "step=job-accept job={} customer={} route={} tokens={} waiting={} limit={}"
                            + " index_revision={} outcome=over-limit",
                    job,
                    customer,
                    route.name(),
                    tokens,
                    waiting,
                    route.queuedTokens(),
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
        long counter = mIndex.acceptedRevision(customer, route.name());
        byte[] owner = JobCodec.owner(mLease.host(), mLease.incarnation());
        return mStorage.accept(job, summary, items, counter, owner, mLease.id())
                .transform(
                        done -> {
                            if (done.failed()) {
                                return inDoubt(job, customer, route, items, attempt, done.cause());
                            }
                            StoreResult result = done.result();
                            if (result.committed()) {
                                own(job, summary, items, result.revision());
                                return accepted(job, "stored");
                            }
                            return conflict(job, customer, route, items, attempt, inDoubt, result);
                        });
    }

    private static Future<Acceptance> accepted(String job, String how) {
        LOG.info("step=job-accept job={} outcome=accepted how={}", job, how);
        return Future.succeededFuture(Acceptance.ACCEPTED);
    }

    private void own(String job, JobSummary summary, List<JobItem> items, long revision) {
        mIndex.wrote(job, summary);
        JobProgress progress = new JobProgress(items, List.of(), Map.of());
        mOwner.add(new OwnedJob(job, revision, summary, progress));
    }

    /** The write may have taken effect; the same conditional write finds out. */
    private Future<Acceptance> inDoubt(
            String job,
            String customer,
            ServingRoute route,
            List<JobItem> items,
            int attempt,
            Throwable cause) {
        boolean notRun =
                cause instanceof SesamepinException known && known.execution() == Execution.NOT_RUN;
        LOG.warn(
                "step=job-accept job={} attempt={} not_run={} cause={}",
                job,
                attempt,
                notRun,
                cause.getMessage());
        if (attempt >= 2) {
            return Future.succeededFuture(notRun ? Acceptance.NOT_STORED : Acceptance.UNKNOWN);
        }
        return mNode.vertx()
                .timer(INDEX_POLL_MS, TimeUnit.MILLISECONDS)
                .compose(
                        t ->
                                accept(job, customer, route, items, attempt + 1, !notRun)
                                        .map(
                                                outcome ->
                                                        outcome == Acceptance.NOT_STORED && !notRun
                                                                ? Acceptance.UNKNOWN
                                                                : outcome));
    }

    private Future<Acceptance> conflict(
            String job,
            String customer,
            ServingRoute route,
            List<JobItem> items,
            int attempt,
            boolean inDoubt,
            StoreResult result) {
        boolean exists =
                result.read().stream()
                        .anyMatch(
                                entry ->
                                        entry.modRevision() > 0
                                                && entry.key().equals(ServingKeys.job(job)));
        if (exists) {
            return accepted(job, "exists");
        }
        if (attempt >= MAX_TRIES) {
            return Future.succeededFuture(inDoubt ? Acceptance.UNKNOWN : Acceptance.NOT_STORED);
        }
        mCatchUp.run();
        return mNode.vertx()
                .timer(INDEX_POLL_MS * attempt, TimeUnit.MILLISECONDS)
                .compose(t -> accept(job, customer, route, items, attempt + 1, inDoubt));
    }

    /** Returns the job's summary, asking the store when this host has not heard of it. */
    public Future<@Nullable JobSummary> findSummary(String job) {
        JobSummary known = mIndex.job(job);
        if (known != null) {
            return Future.succeededFuture(known);
        }
        return mStorage.readSummary(job);
    }

    /**
     * Returns results from position {@code after} on; waits up to {@code waitMs} for the first.
     * Empty when the job has ended by itself or its customer and has no more.
     */
    public Future<Page> readResults(String job, JobSummary summary, int after, long waitMs) {
        if (mOwner.owned(job) != null) {
            return readOwned(job, summary, after, waitMs);
        }
        List<JobResult> cached = mResults.getOrDefault(job, List.of());
        if (cached.size() > after || cached.size() >= summary.total()) {
            return Future.succeededFuture(page(summary, cached, after));
        }
        JobCodec.Owner owner = mIndex.owner(job);
        PeerTable.Peer peer = owner == null ? null : mPeers.find(owner.host());
        if (peer == null || mIndex.isEnded(job)) {
            return readStored(job, summary, after, waitMs);
        }
        return askOwner(peer, job, after, waitMs)
                .compose(
                        reply -> {
                            if (!reply.isOwner()) {
                                return readStored(job, summary, after, waitMs);
                            }
                            return Future.succeededFuture(
                                    new Page(reply.getTotal(), after, results(reply)));
                        })
                .recover(
                        e -> {
                            LOG.info(
                                    "step=job-read job={} owner={} outcome=no-answer cause={}",
                                    job,
                                    peer.name(),
                                    e.getMessage());
                            return readStored(job, summary, after, 0);
                        });
    }

    private Future<JobReadReply> askOwner(PeerTable.Peer peer, String job, int after, long waitMs) {
        PeerRequest request = PeerRequest.jobRead(new JobRead(job, after, waitMs));
        return mClient.call(peer.address(), request, waitMs + OWNER_MARGIN_MS)
                .map(PeerReply::getJobRead);
    }

    private static List<JobResult> results(JobReadReply reply) {
        List<JobResult> results = new ArrayList<>();
        for (JobResultEntry entry : reply.getResults()) {
            results.add(new JobResult(entry.getItemId(), entry.isDone(), entry.getOutput()));
        }
        return results;
    }

    /** Answers another host that asks for results of a job that this host owns. */
    public Future<PeerReply> handleJobRead(JobRead read) {
        OwnedJob owned = mOwner.owned(read.getJobId());
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
                                                result.id(), result.done(), result.output()));
                            }
                            return PeerReply.jobRead(new JobReadReply(true, page.total(), entries));
                        });
    }

    private Future<Page> readOwned(String job, JobSummary summary, int after, long waitMs) {
        OwnedJob owned = mOwner.owned(job);
        if (owned == null) {
            return readStored(job, summary, after, 0);
        }
        List<JobResult> published = owned.progress().published();
        if (published.size() > after || waitMs <= 0) {
            return Future.succeededFuture(page(summary, published, after));
        }
        return awaitChange(job, waitMs).compose(left -> readOwned(job, summary, after, left));
    }

    private Future<Page> readStored(String job, JobSummary summary, int after, long waitMs) {
        return stored(job)
                .compose(
                        results -> {
                            boolean over = results.size() >= summary.total() || mIndex.isEnded(job);
                            if (results.size() > after || waitMs <= 0 || over) {
                                return Future.succeededFuture(page(summary, results, after));
                            }
                            return awaitChange(job, waitMs)
                                    .compose(left -> readStored(job, summary, after, 0));
                        });
    }

    /** Waits for a change of the job; yields how much of {@code waitMs} is left. */
    private Future<Long> awaitChange(String job, long waitMs) {
        long since = mNode.ticker().nanoTime();
        Promise<Void> changed = Promise.promise();
        mWaiting.computeIfAbsent(job, id -> new ArrayList<>()).add(changed);
        long timer = mNode.vertx().setTimer(waitMs, t -> changed.tryComplete());
        return changed.future()
                .map(
                        v -> {
                            mNode.vertx().cancelTimer(timer);
                            List<Promise<Void>> waiting = mWaiting.get(job);
                            if (waiting != null) {
                                waiting.remove(changed);
                            }
                            long waited = mNode.ticker().nanoTime() - since;
                            return waitMs - TimeUnit.NANOSECONDS.toMillis(waited);
                        });
    }

    private static Page page(JobSummary summary, List<JobResult> results, int after) {
        List<JobResult> page = new ArrayList<>();
        int chars = 0;
        for (int i = after; i < results.size(); i++) {
            chars += results.get(i).output().length();
            if (!page.isEmpty() && chars > PAGE_CHARS) {
                break;
            }
            page.add(results.get(i));
        }
        return new Page(summary.total(), after, page);
    }

    /** Reads all results of a job from the store. */
    private Future<List<JobResult>> stored(String job) {
        Future<List<JobResult>> loading = mLoading.get(job);
        if (loading != null) {
            return loading;
        }
        Future<List<JobResult>> load =
                mStorage.results(job)
                        .map(
                                read -> {
                                    mResults.put(job, read.results());
                                    return read.results();
                                })
                        .onComplete(done -> mLoading.remove(job));
        if (!load.isComplete()) {
            mLoading.put(job, load);
        }
        return load;
    }

    /** Returns the body of an item that has no listed result, or null when there is none. */
    public Future<byte @Nullable []> readItemBody(String job, String item) {
        if (mIndex.isEnded(job)) {
            return Future.succeededFuture(null);
        }
        OwnedJob owned = mOwner.owned(job);
        if (owned != null) {
            return Future.succeededFuture(owned.progress().unlistedBody(item));
        }
        List<JobItem> cached = mItems.get(job);
        Future<List<JobItem>> items =
                cached != null
                        ? Future.succeededFuture(cached)
                        : mStorage.items(job).onSuccess(loaded -> mItems.put(job, loaded));
        return items.compose(list -> stored(job).map(results -> readItemBody(list, results, item)));
    }

    private static byte @Nullable [] readItemBody(
            List<JobItem> items, List<JobResult> results, String item) {
        return new JobProgress(items, results, Map.of()).unlistedBody(item);
    }

    /** Ends a job for its customer; no further item of it starts once this succeeds. */
    public Future<Void> cancel(String job) {
        return mStorage.end(job)
                .onSuccess(
                        r -> {
                            LOG.info("step=job-end job={} revision={}", job, r.revision());
                            noticeOwner(job);
                        })
                .mapEmpty();
    }

    /** Tells the job's owner to look for changes of its jobs now. */
    private void noticeOwner(String job) {
        JobCodec.Owner owner = mIndex.owner(job);
        PeerTable.Peer peer = owner == null ? null : mPeers.find(owner.host());
        if (peer == null) {
            mCatchUp.run();
            return;
        }
        mClient.call(peer.address(), PeerRequest.jobNotice(new JobNotice(job)), OWNER_MARGIN_MS)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=job-end job={} owner={} outcome=not-noticed cause={}",
                                        job,
                                        peer.name(),
                                        e.getMessage()));
    }
}
