package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.DueOrder;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.serving.BatchWork;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the items of the jobs that this host owns on slots that online requests leave free,
 * publishes their results, and takes over jobs whose owner is gone. Confined to the event loop.
 */
public final class JobRunner implements AutoCloseable, BatchWork {
    private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);
    private static final long PUMP_MS = 50;
    private static final long PUBLISH_MS = 1_000;
    private static final long CLAIM_MS = 400;
    private static final long ROUTE_REMOVED_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long CLEAN_MS = 5_000;

    /** Slots of a target that batch items leave to online requests that arrive meanwhile. */
    private static final int RESERVED_SLOTS = 1;

    private final ServingContext mNode;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final long mRetentionMs;
    private final OwnedJobs mOwned = new OwnedJobs();
    private final ResultPublisher mPublisher;
    private final JobClaims mClaims;
    private final List<Long> mTimers = new ArrayList<>();
    private Runnable mItemsWait = () -> {};
    private boolean mStopping;

    /** Creates an owner without jobs. */
    public JobRunner(
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
        mPublisher = new ResultPublisher(node, storage, index, lease, mOwned);
        mClaims = new JobClaims(node, storage, index, lease, mOwned, this::add);
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
        every(CLAIM_MS, mClaims::claimOwnerless);
        every(CLEAN_MS, new JobCleaner(mStorage, mIndex, mLease, mRetentionMs)::removeOld);
    }

    private void every(long periodMs, Runnable action) {
        mTimers.add(mNode.vertx().setPeriodic(periodMs, t -> action.run()));
    }

    public int ownedJobCount() {
        return mOwned.all().size();
    }

    /** Returns the number of items that run at targets. */
    public int runningItemCount() {
        return mOwned.all().stream().mapToInt(job -> job.runs().size()).sum();
    }

    /** Returns a job that this host owns, or null. */
    @Nullable OwnedJob owned(String job) {
        return mOwned.get(job);
    }

    /** Takes over a job that was just accepted here, or loaded after a claim. */
    void add(OwnedJob job) {
        mOwned.add(job);
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
            mOwned.drop(job, takenOver ? "taken-over" : "ended");
        }
    }

    @Override
    public boolean suspendOne(TargetInstance target) {
        List<OwnedJob> jobs = byDueTime();
        Collections.reverse(jobs);
        for (OwnedJob job : jobs) {
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
        List<OwnedJob> jobs = new ArrayList<>(mOwned.all());
        long now = System.currentTimeMillis();
        jobs.sort((job, other) -> DueOrder.compare(dueInMs(job, now), dueInMs(other, now)));
        return jobs;
    }

    private long dueInMs(OwnedJob job, long nowMs) {
        ServingRoute route = mNode.state().config().routeNamed(job.summary().route());
        long completionMs = route == null ? 0 : route.completionMs();
        return job.summary().acceptedAtMs() + completionMs - nowMs;
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
        for (OwnedJob job : mOwned.all()) {
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
        long nowMs = System.currentTimeMillis();
        long now = mNode.ticker().nanoTime();
        return byDueTime().stream()
                .filter(job -> job.progress().waiting(now) > 0)
                .findFirst()
                .map(job -> dueInMs(job, nowMs))
                .orElse(0L);
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
            mPublisher.publish(job);
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
        mPublisher.publish(job);
    }

    private void publishAll() {
        mOwned.all().forEach(mPublisher::publish);
    }

    /** Publishes what is there and gives the jobs up, so that other hosts go on with them. */
    public Future<Void> handOver() {
        mStopping = true;
        mClaims.stop();
        mOwned.all().forEach(OwnedJob::cancelRuns);
        return mPublisher.stop().otherwiseEmpty();
    }

    @Override
    public void close() {
        mTimers.forEach(mNode.vertx()::cancelTimer);
    }
}
