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
 * Manages the batch jobs that this host owns: takes them over, leases their items to the hosts that
 * pull them, and stores their results.
 *
 * <p>Rendezvous hashing selects the owner of a job. On take-over, the owner raises the job's
 * fencing token in the store, so that a former owner can no longer write results.
 */
public final class JobService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final long SCAN_INTERVAL_MS = 5_000;
    private static final long CHECK_INTERVAL_MS = 500;
    private static final long ABORT_TIMEOUT_MS = 1_000;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final JobStore mJobStore;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final PeerClient mPeers;
    private final RateLimiter mRateLimiter;
    private final NodeMetrics mMetrics;
    private final BatchRunner mRunner;
    private final Map<String, OwnedJob> mOwnedJobs = new ConcurrentHashMap<>();
    private final Set<String> mTakeOversInProgress = ConcurrentHashMap.newKeySet();
    private volatile List<String> mLastScannedView = List.of();
    private volatile boolean mStopping;
    private long mScanTimer;
    private long mCheckTimer;

    /** Creates the service; {@code runner} runs items on the targets that this host owns. */
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
        mJobStore = store;
        mFleet = fleet;
        mBundles = bundles;
        mPeers = peers;
        mRateLimiter = limiter;
        mMetrics = metrics;
        mRunner = runner;
    }

    /** Registers the handlers of the peer requests for jobs and items at {@code server}. */
    public void registerHandlers(PeerServer server) {
        server.registerHandler(PeerRequest._Fields.PULL, r -> onPull(r.getPull()));
        server.registerHandler(
                PeerRequest._Fields.OUTCOMES,
                r -> {
                    boolean known = recordOutcomes(r.getOutcomes().getOutcomes());
                    ItemRenewalReply reply = new ItemRenewalReply(known);
                    return Future.succeededFuture(PeerReply.itemRenewal(reply));
                });
        server.registerHandler(
                PeerRequest._Fields.ITEM_RENEWAL, r -> onItemRenewal(r.getItemRenewal()));
        server.registerHandler(
                PeerRequest._Fields.JOB_NOTICE,
                r -> onJobNotice(r.getJobNotice().getJobId()).map(PeerReply.done(new Done())));
        server.registerHandler(
                PeerRequest._Fields.ABORT_JOB,
                r -> {
                    mRunner.abortJob(r.getAbortJob().getJobId());
                    return Future.succeededFuture(PeerReply.done(new Done()));
                });
        server.registerHandler(
                PeerRequest._Fields.JOB_QUERY,
                r -> {
                    JsonObject progress = findProgress(r.getJobQuery().getJobId());
                    String json = progress == null ? "" : progress.encode();
                    JobReply reply = new JobReply(progress != null, json);
                    return Future.succeededFuture(PeerReply.job(reply));
                });
    }

    /**
     * Starts the periodic scan for open jobs that this host has to take over, and the periodic
     * check of the jobs that it owns.
     */
    public void start() {
        mScanTimer = mVertx.setPeriodic(SCAN_INTERVAL_MS, t -> scanOpenJobs());
        mCheckTimer = mVertx.setPeriodic(CHECK_INTERVAL_MS, t -> checkJobs());
    }

    /** Returns the key that is hashed to select the owner of a job. */
    public static String ownerKey(String jobId) {
        return "job/" + jobId;
    }

    private void checkJobs() {
        for (OwnedJob job : mOwnedJobs.values()) {
            job.expireLeases();
            job.endIfFinished();
            String id = job.record().id();
            boolean ownerChanged = !mFleet.isSelf(mFleet.ownerOf(ownerKey(id)));
            if (ownerChanged && job.isFlushed()) {
                job.stop();
                mOwnedJobs.remove(id, job);
            }
        }
        if (!mFleet.view().equals(mLastScannedView)) {
            scanOpenJobs();
        }
    }

    private void scanOpenJobs() {
        if (mStopping) {
            return;
        }
        List<String> view = mFleet.view();
        mJobStore
                .listOpenJobs()
                .onSuccess(
                        ids -> {
                            mLastScannedView = view;
                            ids.forEach(this::takeOverIfOwner);
                        });
    }

    private void takeOverIfOwner(String jobId) {
        boolean isOwner = mFleet.isSelf(mFleet.ownerOf(ownerKey(jobId)));
        if (isOwner
                && !mStopping
                && !mOwnedJobs.containsKey(jobId)
                && mTakeOversInProgress.add(jobId)) {
            takeOver(jobId)
                    .onFailure(
                            e ->
                                    LOG.warn(
                                            "step=batch job={} message=\"{}\"",
                                            jobId,
                                            e.getMessage()))
                    .onComplete(done -> mTakeOversInProgress.remove(jobId));
        }
    }

    private Future<Void> takeOver(String jobId) {
        return mJobStore
                .readJob(jobId)
                .compose(
                        stored -> {
                            if (stored == null || stored.record().status().isTerminal()) {
                                return Future.succeededFuture();
                            }
                            return mJobStore
                                    .takeOver(stored)
                                    .compose(revision -> loadTakenOverJob(stored, revision));
                        });
    }

    private Future<Void> loadTakenOverJob(JobStore.StoredJob stored, long fencingTokenRevision) {
        if (fencingTokenRevision == 0) {
            return Future.succeededFuture();
        }
        JobRecord record = stored.record();
        BitSet finishedItems = new BitSet();
        int[] failedCount = {0};
        return mJobStore
                .listSegmentKeys(record.id())
                .compose(keys -> readSegments(keys, 0, finishedItems, failedCount))
                .compose(v -> mJobStore.readFileRecord(record.fileId()))
                .map(
                        file -> {
                            if (file != null) {
                                addOwnedJob(
                                        stored,
                                        fencingTokenRevision,
                                        file,
                                        finishedItems,
                                        failedCount[0]);
                            }
                            return null;
                        });
    }

    private Future<Void> readSegments(
            List<String> keys, int index, BitSet finishedItems, int[] failedCount) {
        if (index >= keys.size()) {
            return Future.succeededFuture();
        }
        return mJobStore
                .readValue(keys.get(index))
                .compose(
                        value -> {
                            try {
                                failedCount[0] += OwnedJob.addFinishedItems(value, finishedItems);
                            } catch (SesamepinException e) {
                                return Future.failedFuture(e);
                            }
                            return readSegments(keys, index + 1, finishedItems, failedCount);
                        });
    }

    private void addOwnedJob(
            JobStore.StoredJob stored,
            long fencingTokenRevision,
            FileRecord file,
            BitSet finishedItems,
            int failedCount) {
        String id = stored.record().id();
        OwnedJob job =
                new OwnedJob(
                        mVertx,
                        mTicker,
                        mJobStore,
                        mFleet.self(),
                        stored,
                        fencingTokenRevision,
                        new ItemSource(mJobStore, file),
                        finishedItems,
                        failedCount,
                        () -> mOwnedJobs.remove(id));
        mOwnedJobs.put(id, job);
        LOG.info(
                "step=batch job={} customer={} items={} done={} fence={} owner={}",
                id,
                stored.record().customer(),
                stored.record().items(),
                finishedItems.cardinality(),
                stored.fencingToken() + 1,
                mFleet.self());
        if (stored.record().status() == JobStatus.CANCELLING) {
            abortOnAllHosts(id).onComplete(v -> job.endIfFinished());
        }
        job.endIfFinished();
    }

    /**
     * Handles the notice that a job was created or cancelled. Takes over the job if this host is
     * its owner and has not done so. For a cancelled job, the future completes once every live host
     * has aborted the job's items.
     */
    public Future<Void> onJobNotice(String jobId) {
        OwnedJob job = mOwnedJobs.get(jobId);
        if (job == null) {
            takeOverIfOwner(jobId);
            return Future.succeededFuture();
        }
        return job.reloadRecord()
                .compose(
                        v -> {
                            if (job.record().status() != JobStatus.CANCELLING) {
                                return Future.succeededFuture();
                            }
                            return abortOnAllHosts(jobId).onComplete(a -> job.endIfFinished());
                        });
    }

    private Future<Void> abortOnAllHosts(String jobId) {
        mRunner.abortJob(jobId);
        List<Future<?>> aborts = new ArrayList<>();
        for (HostState peer : mFleet.livePeerStates()) {
            PeerRequest request = PeerRequest.abortJob(new AbortJob(jobId));
            aborts.add(mPeers.call(peer.getPeerAddress(), request, ABORT_TIMEOUT_MS));
        }
        return Future.join(aborts).mapEmpty();
    }

    /** Returns the progress of a job, or null if this host does not own the job. */
    public @Nullable JsonObject findProgress(String jobId) {
        OwnedJob job = mOwnedJobs.get(jobId);
        return job == null ? null : job.progress();
    }

    /** Returns the number of items, by model, that hosts can lease from this host now. */
    public Map<String, Integer> pendingItems() {
        Map<String, Integer> pending = new HashMap<>();
        for (OwnedJob job : mOwnedJobs.values()) {
            int available = job.availableItemCount();
            if (available > 0) {
                pending.merge(job.record().model(), available, Integer::sum);
            }
        }
        return pending;
    }

    private Future<PeerReply> onPull(PullItems pull) {
        return leaseItems(pull.getHost(), pull.getModel(), pull.getMax())
                .map(items -> PeerReply.pull(new PullReply(items)));
    }

    /** Leases at most {@code max} items of a model to a host, by the priority of their jobs. */
    public Future<List<BatchItem>> leaseItems(String host, String model, int max) {
        return leaseItems(host, jobsInLeaseOrder(model), 0, max, new ArrayList<>());
    }

    private Future<List<BatchItem>> leaseItems(
            String host, List<OwnedJob> jobs, int index, int max, List<BatchItem> items) {
        if (index >= jobs.size() || items.size() >= max || mStopping) {
            return Future.succeededFuture(items);
        }
        OwnedJob job = jobs.get(index);
        return admitItems(job, max - items.size())
                .compose(count -> job.leaseItems(host, count))
                .compose(
                        leased -> {
                            items.addAll(leased);
                            return leaseItems(host, jobs, index + 1, max, items);
                        });
    }

    /**
     * Returns how many items the customer's rate limit allows to lease now, at most {@code max}.
     * When the bundle charges batch items against the rate, a call admits one item at most.
     */
    private Future<Integer> admitItems(OwnedJob job, int max) {
        Customer customer = mBundles.current().customers().get(job.record().customer());
        if (customer == null) {
            return Future.succeededFuture(0);
        }
        if (customer.batchItemCost() == 0 || job.availableItemCount() == 0) {
            return Future.succeededFuture(max);
        }
        return mRateLimiter
                .admit(customer, customer.batchItemCost())
                .map(Admission::admitted)
                .map(admitted -> admitted ? 1 : 0);
    }

    private List<OwnedJob> jobsInLeaseOrder(String model) {
        Map<String, Integer> runningByCustomer = new HashMap<>();
        mOwnedJobs
                .values()
                .forEach(
                        j ->
                                runningByCustomer.merge(
                                        j.record().customer(), j.runningItemCount(), Integer::sum));
        List<JobOrder.Entry> entries = new ArrayList<>();
        for (OwnedJob job : mOwnedJobs.values()) {
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
                            runningByCustomer.getOrDefault(record.customer(), 0),
                            record.dueAtMs(),
                            job.estimateRemainingMs()));
        }
        List<OwnedJob> jobs = new ArrayList<>();
        for (JobOrder.Entry entry : JobOrder.sort(entries, System.currentTimeMillis())) {
            OwnedJob job = mOwnedJobs.get(entry.jobId());
            if (job != null) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    /** Records the outcomes of attempts; returns false if this host owns none of their jobs. */
    public boolean recordOutcomes(List<org.sesamepin.node.peer.generated.ItemOutcome> outcomes) {
        boolean known = false;
        for (var outcome : outcomes) {
            OwnedJob job = mOwnedJobs.get(outcome.getJobId());
            if (job == null) {
                continue;
            }
            known = true;
            var kind = OutcomeMapper.fromWire(outcome.getKind());
            mMetrics.countItemAttempt(job.record().customer(), kind);
            job.recordOutcome(outcome.getIndex(), kind, outcome.getStatus(), outcome.getBody());
        }
        return known;
    }

    private Future<PeerReply> onItemRenewal(ItemRenewal renewal) {
        return Future.succeededFuture(
                PeerReply.itemRenewal(
                        new ItemRenewalReply(
                                renewLeases(
                                        renewal.getHost(),
                                        renewal.getJobId(),
                                        renewal.getIndexes()))));
    }

    /**
     * Renews the leases of the items that a host still runs. Returns false if the host should drop
     * them, because the job is not in progress or this host neither owns it nor is taking it over.
     */
    public boolean renewLeases(String host, String jobId, List<Integer> indexes) {
        OwnedJob job = mOwnedJobs.get(jobId);
        if (job == null) {
            return mTakeOversInProgress.contains(jobId);
        }
        job.renewLeases(host, indexes);
        return job.record().status() == JobStatus.IN_PROGRESS;
    }

    public int ownedJobCount() {
        return mOwnedJobs.size();
    }

    /**
     * Stops leasing items. The future completes once all results received so far are in the store.
     */
    public Future<Void> stop() {
        mStopping = true;
        boolean flushed = mOwnedJobs.values().stream().allMatch(OwnedJob::isFlushed);
        if (flushed) {
            mOwnedJobs.values().forEach(OwnedJob::stop);
            mOwnedJobs.clear();
            return Future.succeededFuture();
        }
        return mVertx.timer(CHECK_INTERVAL_MS).compose(t -> stop());
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mScanTimer);
        mVertx.cancelTimer(mCheckTimer);
    }
}
