package org.sesamepin.node.batch;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.JobOrder;
import org.sesamepin.core.batch.JobRecord;
import org.sesamepin.core.batch.JobStatus;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.limit.Admission;
import org.sesamepin.node.limit.RateLimiter;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.AbortJob;
import org.sesamepin.node.peer.generated.BatchItem;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.peer.generated.ItemRenewal;
import org.sesamepin.node.peer.generated.ItemRenewalReply;
import org.sesamepin.node.peer.generated.JobReply;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PullItems;
import org.sesamepin.node.peer.generated.PullReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs that this host owns: takes them over, leases their items to the hosts that pull, and
 * keeps their results. Ownership is chosen by rendezvous hashing and made safe by the job's fence
 * in the store.
 */
public final class JobService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final long SCAN_MS = 5_000;
    private static final long CHECK_MS = 500;
    private static final long ABORT_TIMEOUT_MS = 1_000;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final JobStore mStore;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final PeerClient mPeers;
    private final RateLimiter mLimiter;
    private final NodeMetrics mMetrics;
    private final BatchRunner mRunner;
    private final Map<String, OwnedJob> mJobs = new ConcurrentHashMap<>();
    private final Set<String> mTaking = ConcurrentHashMap.newKeySet();
    private volatile List<String> mScannedView = List.of();
    private volatile boolean mStopping;
    private long mScanTimer;
    private long mCheckTimer;

    /** Creates the service; {@code runner} executes items on this host's targets. */
    public JobService(
            Vertx vertx,
            Ticker ticker,
            JobStore store,
            FleetView fleet,
            BundleManager bundles,
            PeerClient peers,
            RateLimiter limiter,
            NodeMetrics metrics,
            BatchRunner runner) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mFleet = fleet;
        mBundles = bundles;
        mPeers = peers;
        mLimiter = limiter;
        mMetrics = metrics;
        mRunner = runner;
    }

    /** Registers the calls that this node answers. */
    public void register(PeerServer server) {
        server.on(PeerRequest._Fields.PULL, r -> pulled(r.getPull()));
        server.on(
                PeerRequest._Fields.OUTCOMES,
                r -> {
                    boolean known = outcomes(r.getOutcomes().getOutcomes());
                    ItemRenewalReply reply = new ItemRenewalReply(known);
                    return Future.succeededFuture(PeerReply.itemRenewal(reply));
                });
        server.on(PeerRequest._Fields.ITEM_RENEWAL, r -> renewed(r.getItemRenewal()));
        server.on(
                PeerRequest._Fields.JOB_NOTICE,
                r -> noticed(r.getJobNotice().getJobId()).map(PeerReply.done(new Done())));
        server.on(
                PeerRequest._Fields.ABORT_JOB,
                r -> {
                    mRunner.abort(r.getAbortJob().getJobId());
                    return Future.succeededFuture(PeerReply.done(new Done()));
                });
        server.on(
                PeerRequest._Fields.JOB_QUERY,
                r -> {
                    JsonObject progress = progress(r.getJobQuery().getJobId());
                    String json = progress == null ? "" : progress.encode();
                    JobReply reply = new JobReply(progress != null, json);
                    return Future.succeededFuture(PeerReply.job(reply));
                });
    }

    /** Starts looking for jobs to own. */
    public void start() {
        mScanTimer = mVertx.setPeriodic(SCAN_MS, t -> scan());
        mCheckTimer = mVertx.setPeriodic(CHECK_MS, t -> check());
    }

    /** Returns the key by which a job's owner is chosen. */
    public static String ownerKey(String jobId) {
        return "job/" + jobId;
    }

    private void check() {
        for (OwnedJob job : mJobs.values()) {
            job.expire();
            job.endIfFinished();
            String id = job.record().id();
            boolean moved = !mFleet.isSelf(mFleet.ownerOf(ownerKey(id)));
            if (moved && job.isFlushed()) {
                job.stop();
                mJobs.remove(id, job);
            }
        }
        if (!mFleet.view().equals(mScannedView)) {
            scan();
        }
    }

    private void scan() {
        if (mStopping) {
            return;
        }
        List<String> view = mFleet.view();
        mStore.openJobs()
                .onSuccess(
                        ids -> {
                            mScannedView = view;
                            ids.forEach(this::takeOverIfOwn);
                        });
    }

    private void takeOverIfOwn(String jobId) {
        boolean own = mFleet.isSelf(mFleet.ownerOf(ownerKey(jobId)));
        if (own && !mStopping && !mJobs.containsKey(jobId) && mTaking.add(jobId)) {
            takeOver(jobId)
                    .onFailure(
                            e ->
                                    LOG.warn(
                                            "step=batch job={} message=\"{}\"",
                                            jobId,
                                            e.getMessage()))
                    .onComplete(done -> mTaking.remove(jobId));
        }
    }

    private Future<Void> takeOver(String jobId) {
        return mStore.read(jobId)
                .compose(
                        stored -> {
                            if (stored == null || stored.record().status().isTerminal()) {
                                return Future.succeededFuture();
                            }
                            return mStore.takeOver(stored).compose(f -> taken(stored, f));
                        });
    }

    private Future<Void> taken(JobStore.StoredJob stored, long fenceRevision) {
        if (fenceRevision == 0) {
            return Future.succeededFuture();
        }
        JobRecord record = stored.record();
        BitSet done = new BitSet();
        int[] failed = {0};
        return mStore.segmentKeys(record.id())
                .compose(keys -> readSegments(keys, 0, done, failed))
                .compose(v -> mStore.file(record.fileId()))
                .map(
                        file -> {
                            if (file != null) {
                                own(stored, fenceRevision, file, done, failed[0]);
                            }
                            return null;
                        });
    }

    private Future<Void> readSegments(List<String> keys, int index, BitSet done, int[] failed) {
        if (index >= keys.size()) {
            return Future.succeededFuture();
        }
        return mStore.value(keys.get(index))
                .compose(
                        value -> {
                            try {
                                failed[0] += OwnedJob.addDone(value, done);
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                            return readSegments(keys, index + 1, done, failed);
                        });
    }

    private void own(
            JobStore.StoredJob stored,
            long fenceRevision,
            FileRecord file,
            BitSet done,
            int failed) {
        String id = stored.record().id();
        OwnedJob job =
                new OwnedJob(
                        mVertx,
                        mTicker,
                        mStore,
                        mFleet.self(),
                        stored,
                        fenceRevision,
                        new ItemSource(mStore, file),
                        done,
                        failed,
                        () -> mJobs.remove(id));
        mJobs.put(id, job);
        LOG.info(
                "step=batch job={} customer={} items={} done={} fence={} owner={}",
                id,
                stored.record().customer(),
                stored.record().items(),
                done.cardinality(),
                stored.fence() + 1,
                mFleet.self());
        if (stored.record().status() == JobStatus.CANCELLING) {
            abortEverywhere(id).onComplete(v -> job.endIfFinished());
        }
        job.endIfFinished();
    }

    /**
     * Looks at a job that was created or cancelled; when it was cancelled, completes after no item
     * of it runs on any live host.
     */
    public Future<Void> noticed(String jobId) {
        OwnedJob job = mJobs.get(jobId);
        if (job == null) {
            takeOverIfOwn(jobId);
            return Future.succeededFuture();
        }
        return job.reload()
                .compose(
                        v -> {
                            if (job.record().status() != JobStatus.CANCELLING) {
                                return Future.succeededFuture();
                            }
                            return abortEverywhere(jobId).onComplete(a -> job.endIfFinished());
                        });
    }

    private Future<Void> abortEverywhere(String jobId) {
        mRunner.abort(jobId);
        List<Future<?>> aborts = new ArrayList<>();
        for (HostState peer : mFleet.livePeerStates()) {
            PeerRequest request = PeerRequest.abortJob(new AbortJob(jobId));
            aborts.add(mPeers.call(peer.getPeerAddress(), request, ABORT_TIMEOUT_MS));
        }
        return Future.join(aborts).mapEmpty();
    }

    /** Returns the progress of a job that this host owns, or null. */
    public @Nullable JsonObject progress(String jobId) {
        OwnedJob job = mJobs.get(jobId);
        return job == null ? null : job.progress();
    }

    /** Returns how many items of each model could be pulled from this host. */
    public Map<String, Integer> pendingItems() {
        Map<String, Integer> pending = new HashMap<>();
        for (OwnedJob job : mJobs.values()) {
            int available = job.available();
            if (available > 0) {
                pending.merge(job.record().model(), available, Integer::sum);
            }
        }
        return pending;
    }

    private Future<PeerReply> pulled(PullItems pull) {
        return pull(pull.getHost(), pull.getModel(), pull.getMax())
                .map(items -> PeerReply.pull(new PullReply(items)));
    }

    /** Leases at most {@code max} items of a model to a host, in the order of the jobs. */
    public Future<List<BatchItem>> pull(String host, String model, int max) {
        return pull(host, ordered(model), 0, max, new ArrayList<>());
    }

    private Future<List<BatchItem>> pull(
            String host, List<OwnedJob> jobs, int index, int max, List<BatchItem> items) {
        if (index >= jobs.size() || items.size() >= max || mStopping) {
            return Future.succeededFuture(items);
        }
        OwnedJob job = jobs.get(index);
        return allowed(job, max - items.size())
                .compose(count -> job.lease(host, count))
                .compose(
                        leased -> {
                            items.addAll(leased);
                            return pull(host, jobs, index + 1, max, items);
                        });
    }

    /** Returns how many items the customer's rate allows to start, when the bundle charges them. */
    private Future<Integer> allowed(OwnedJob job, int max) {
        Customer customer = mBundles.current().customers().get(job.record().customer());
        if (customer == null) {
            return Future.succeededFuture(0);
        }
        if (customer.batchItemCost() == 0 || job.available() == 0) {
            return Future.succeededFuture(max);
        }
        return mLimiter.admit(customer, customer.batchItemCost())
                .map(Admission::admitted)
                .map(admitted -> admitted ? 1 : 0);
    }

    private List<OwnedJob> ordered(String model) {
        Map<String, Integer> running = new HashMap<>();
        mJobs.values()
                .forEach(j -> running.merge(j.record().customer(), j.running(), Integer::sum));
        List<JobOrder.Entry> entries = new ArrayList<>();
        for (OwnedJob job : mJobs.values()) {
            JobRecord record = job.record();
            if (!record.model().equals(model)) {
                continue;
            }
            Customer customer = mBundles.current().customers().get(record.customer());
            entries.add(
                    new JobOrder.Entry(
                            record.id(),
                            record.customer(),
                            customer == null ? 1 : customer.weight(),
                            running.getOrDefault(record.customer(), 0),
                            record.dueAtMs(),
                            job.remainingMs()));
        }
        List<OwnedJob> jobs = new ArrayList<>();
        for (JobOrder.Entry entry : JobOrder.sort(entries, System.currentTimeMillis())) {
            OwnedJob job = mJobs.get(entry.jobId());
            if (job != null) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    /** Notes how attempts ended; false when this host owns none of their jobs. */
    public boolean outcomes(List<org.sesamepin.node.peer.generated.ItemOutcome> outcomes) {
        boolean known = false;
        for (var outcome : outcomes) {
            OwnedJob job = mJobs.get(outcome.getJobId());
            if (job == null) {
                continue;
            }
            known = true;
            var kind = Outcomes.fromWire(outcome.getKind());
            mMetrics.item(job.record().customer(), kind);
            job.outcome(outcome.getIndex(), kind, outcome.getStatus(), outcome.getBody());
        }
        return known;
    }

    private Future<PeerReply> renewed(ItemRenewal renewal) {
        return Future.succeededFuture(
                PeerReply.itemRenewal(
                        new ItemRenewalReply(
                                renew(
                                        renewal.getHost(),
                                        renewal.getJobId(),
                                        renewal.getIndexes()))));
    }

    /** Notes which items a host still runs; false when they should be dropped. */
    public boolean renew(String host, String jobId, List<Integer> indexes) {
        OwnedJob job = mJobs.get(jobId);
        if (job == null) {
            return mTaking.contains(jobId);
        }
        job.renew(host, indexes);
        return job.record().status() == JobStatus.IN_PROGRESS;
    }

    public int ownedJobs() {
        return mJobs.size();
    }

    /** Stops leasing; the future completes when all results that came are in the store. */
    public Future<Void> stop() {
        mStopping = true;
        boolean flushed = mJobs.values().stream().allMatch(OwnedJob::isFlushed);
        if (flushed) {
            mJobs.values().forEach(OwnedJob::stop);
            mJobs.clear();
            return Future.succeededFuture();
        }
        return mVertx.timer(CHECK_MS).compose(t -> stop());
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mScanTimer);
        mVertx.cancelTimer(mCheckTimer);
    }
}
