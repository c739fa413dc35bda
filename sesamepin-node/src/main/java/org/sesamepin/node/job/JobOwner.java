package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.serving.BatchWork;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.spi.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the items of the jobs that this host owns on slots that online requests leave free,
 * publishes their results, and takes over jobs whose owner is gone. Confined to the event loop.
 */
public final class JobOwner implements AutoCloseable, BatchWork {
    private static final Logger LOG = LoggerFactory.getLogger(JobOwner.class);
    private static final long PUMP_MS = 50;
    private static final long PUBLISH_MS = 1_000;
    private static final long RETRY_MS = 300;
    private static final long CLAIM_MS = 400;
    private static final long ANY_HOST_CLAIMS_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long ROUTE_REMOVED_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long CLEAN_MS = 5_000;
    private static final double TOLD_PART = 0.04;
    private static final int SEGMENT_CHARS = 600_000;

    /** Slots of a target that batch items leave to online requests that arrive meanwhile. */
    private static final int RESERVED_SLOTS = 1;

    private final ServingContext mNode;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final long mRetentionMs;
    private final Map<String, OwnedJob> mOwned = new HashMap<>();
    private final Set<String> mClaiming = new HashSet<>();
    private final Map<String, Long> mOwnerlessSince = new HashMap<>();
    private final List<Long> mTimers = new ArrayList<>();
    private Runnable mItemsWait = () -> {};
    private boolean mStopping;

    /** Creates an owner without jobs. */
    public JobOwner(
            ServingContext node,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            long retentionMs) {
        mNode = node;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mRetentionMs = retentionMs;
    }

    /**
     * Starts running, publishing and taking over.
     *
     * @param itemsWait runs when items have come to wait for a place
     */
    public void start(Runnable itemsWait) {
        mItemsWait = itemsWait;
        mIndex.onChange(this::changed);
        every(PUMP_MS, this::pump);
        every(PUBLISH_MS, this::publishAll);
        every(CLAIM_MS, this::claimOwnerless);
        every(CLEAN_MS, new JobCleaner(mStorage, mIndex, mLease, mRetentionMs)::removeOld);
    }

    private void every(long periodMs, Runnable action) {
        mTimers.add(mNode.vertx().setPeriodic(periodMs, t -> action.run()));
    }

    public int ownedJobs() {
        return mOwned.size();
    }

    /** Returns the number of items that run at targets. */
    public int runningItems() {
        return mOwned.values().stream().mapToInt(job -> job.runs().size()).sum();
    }

    /** Returns a job that this host owns, or null. */
    @Nullable OwnedJob owned(String job) {
        return mOwned.get(job);
    }

    /** Takes over a job that was just accepted here, or loaded after a claim. */
    void add(OwnedJob job) {
        mOwned.put(job.id(), job);
        pump();
        mItemsWait.run();
    }

    private void changed(String id) {
        OwnedJob job = mOwned.get(id);
        if (job == null) {
            return;
        }
        JobCodec.Owner owner = mIndex.owner(id);
        boolean takenOver = owner != null && owner.revision() > job.ownerRevision();
        if (takenOver || mIndex.isEnded(id)) {
            drop(job, takenOver ? "taken-over" : "ended");
        }
    }

    private void drop(OwnedJob job, String reason) {
        if (mOwned.remove(job.id(), job)) {
            job.cancelRuns();
            LOG.info("step=job job={} outcome={}", job.id(), reason);
        }
    }

    @Override
    public boolean suspendOne(TargetInstance target) {
        for (OwnedJob job : mOwned.values()) {
            for (ItemRun run : job.runs().values()) {
                if (run.target().equals(target)) {
                    run.suspend();
                    return true;
                }
            }
        }
        return false;
    }

    private List<OwnedJob> byDueTime() {
        List<OwnedJob> jobs = new ArrayList<>(mOwned.values());
        jobs.sort(Comparator.comparingLong(this::dueAtMs));
        return jobs;
    }

    private long dueAtMs(OwnedJob job) {
        ServingRoute route = mNode.state().config().routeNamed(job.summary().route());
        return job.summary().acceptedAtMs() + (route == null ? 0 : route.completionMs());
    }

    @Override
    public boolean runOne(String service, TargetInstance target) {
        if (mStopping) {
            return false;
        }
        for (OwnedJob job : byDueTime()) {
            ServingRoute route = mNode.state().config().routeNamed(job.summary().route());
            int index = job.progress().next(mNode.ticker().nanoTime());
            if (route != null && index >= 0 && route.sendsTo(service)) {
                run(job, index, route, target);
                return true;
            }
        }
        return false;
    }

    private void run(OwnedJob job, int index, ServingRoute route, TargetInstance target) {
        new ItemRun(mNode, job, index, route, target, () -> runEnded(job)).start();
    }

    @Override
    public Map<String, Integer> waiting() {
        Map<String, Integer> waiting = new HashMap<>();
        if (mStopping) {
            return waiting;
        }
        for (OwnedJob job : mOwned.values()) {
            ServingRoute route = mNode.state().config().routeNamed(job.summary().route());
            int open = job.progress().waiting(mNode.ticker().nanoTime());
            if (route == null || open == 0) {
                continue;
            }
            for (ServiceShare share : route.shares()) {
                waiting.merge(share.service(), open, Integer::sum);
            }
        }
        return waiting;
    }

    @Override
    public long dueInMs() {
        long now = System.currentTimeMillis();
        return byDueTime().stream().findFirst().map(job -> dueAtMs(job) - now).orElse(0L);
    }

    private void pump() {
        if (mStopping || mOwned.isEmpty()) {
            return;
        }
        for (OwnedJob job : byDueTime()) {
            ServingRoute route = mNode.state().config().routeNamed(job.summary().route());
            if (route == null) {
                routeMissing(job);
            } else if (isTooOld(job, route)) {
                giveUpRest(job, "retention-over");
            } else {
                job.routeFound();
                runUncoordinated(job, route);
            }
        }
    }

    /**
     * Gives a job up whose route was removed. The route has to be missing for a while: the
     * configuration at hand may be older than the job, or not be known yet.
     */
    private void routeMissing(OwnedJob job) {
        long now = mNode.ticker().nanoTime();
        if (!mNode.state().config().isKnown()) {
            return;
        }
        if (now - job.routeMissingSince(now) > ROUTE_REMOVED_NANOS) {
            giveUpRest(job, "route-removed");
        }
    }

    /** Starts items of services whose places nobody coordinates. */
    private void runUncoordinated(OwnedJob job, ServingRoute route) {
        long now = mNode.ticker().nanoTime();
        int index = job.progress().next(now);
        while (index >= 0) {
            String service = route.service(ThreadLocalRandom.current().nextDouble());
            TargetInstance target = mNode.places().uncoordinatedTarget(service, RESERVED_SLOTS);
            if (target == null) {
                return;
            }
            run(job, index, route, target);
            index = job.progress().next(now);
        }
    }

    private void runEnded(OwnedJob job) {
        if (job.progress().allFinal()) {
            publish(job);
        }
        pump();
    }

    private static boolean isTooOld(OwnedJob job, ServingRoute route) {
        long age = System.currentTimeMillis() - job.summary().acceptedAtMs();
        return route.retentionMs() > 0 && age > route.retentionMs();
    }

    private void giveUpRest(OwnedJob job, String reason) {
        List<Integer> rest = job.progress().unfinished();
        if (rest.isEmpty()) {
            return;
        }
        job.cancelRuns();
        rest.forEach(job.progress()::giveUp);
        LOG.info("step=job job={} items={} outcome={}", job.id(), rest.size(), reason);
        publish(job);
    }

    private void publishAll() {
        List.copyOf(mOwned.values()).forEach(this::publish);
    }

    private Future<Void> publish(OwnedJob job) {
        if (job.write() != null) {
            return Future.succeededFuture();
        }
        List<JobResult> results = job.progress().pending(SEGMENT_CHARS);
        if (results.isEmpty()) {
            return Future.succeededFuture();
        }
        JobSummary summary = job.summary();
        JobSummary after =
                summary.with(
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
        ServingRoute route = mNode.state().config().routeNamed(after.route());
        long limit = route == null ? 0 : route.queuedTokens();
        long fallen = job.toldTokens() - after.openTokens();
        return after.isComplete() || (limit > 0 && fallen > limit * TOLD_PART);
    }

    private Future<Void> retry(OwnedJob job, OwnedJob.Write write) {
        if (mOwned.get(job.id()) != job) {
            return Future.succeededFuture();
        }
        return mNode.vertx()
                .timer(RETRY_MS, TimeUnit.MILLISECONDS)
                .compose(
                        t -> {
                            boolean current = mOwned.get(job.id()) == job && !mStopping;
                            return current ? send(job, write) : Future.succeededFuture();
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
        drop(job, "ownership-lost");
    }

    private static boolean isOwn(OwnedJob job, OwnedJob.Write write, JobStorage.Results stored) {
        List<JobResult> pending = job.progress().pending(Integer.MAX_VALUE);
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
            mOwned.remove(job.id(), job);
            LOG.info("step=job job={} outcome=complete", job.id());
        }
    }

    private void claimOwnerless() {
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
            if ((mine || anyHost) && !mOwned.containsKey(job) && mClaiming.add(job)) {
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
                known.with(results.results().size(), results.segments(), progress.openTokens());
        LOG.info(
                "step=claim job={} owner_revision={} results={} of={} outcome=owned",
                id,
                ownerRevision,
                summary.published(),
                summary.total());
        add(new OwnedJob(id, ownerRevision, summary, progress));
    }

    /** Publishes what is there and gives the jobs up, so that other hosts go on with them. */
    public Future<Void> handOver() {
        mStopping = true;
        List<Future<Void>> writes = new ArrayList<>();
        for (OwnedJob job : List.copyOf(mOwned.values())) {
            job.cancelRuns();
            writes.add(publish(job));
        }
        Promise<Void> done = Promise.promise();
        Future.join(writes).onComplete(all -> done.complete());
        return done.future();
    }

    @Override
    public void close() {
        mTimers.forEach(mNode.vertx()::cancelTimer);
    }
}
