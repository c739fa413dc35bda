package org.sesamepin.node.job;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.DueOrder;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.PublishSchedule;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.serving.BatchWork;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the items of the jobs that this host owns on slots of targets that online requests leave
 * free, publishes their results, and takes over jobs whose owner is gone. Confined to the event
 * loop.
 */
public final class JobRunner implements AutoCloseable, BatchWork {
    private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);

    /** Interval at which waiting items are offered to targets. */
    static final long ADVANCE_INTERVAL_MS = 50;

    private static final long PUBLISH_CHECK_INTERVAL_MS = 250;

    /** Interval at which jobs that no process runs are looked for. */
    static final long CLAIM_INTERVAL_MS = 400;

    /** Time for which a job's route has to be missing before the job's items fail. */
    private static final long ROUTE_REMOVAL_GRACE_NANOS = TimeUnit.SECONDS.toNanos(8);

    private static final long CANCELLATION_CHECK_INTERVAL_MS = 200;
    private static final long CLEAN_INTERVAL_MS = 5_000;
    private static final long IDLE_CHECK_INTERVAL_MS = 1_000;

    /** Slots of a target that batch items leave free for online requests that arrive meanwhile. */
    private static final int RESERVED_SLOTS = 1;

    /** Interval at which items with prompts in quarantine are looked at again. */
    private static final long QUARANTINE_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A job and the slack of its next item, milliseconds. */
    private record JobSlack(OwnedJob job, long slackMs) {}

    private final ServingContext mContext;
    private final JobStorage mStorage;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final long mRetentionMs;
    private final OwnedJobs mOwnedJobs = new OwnedJobs();
    private final ItemRunTimes mRunTimes = new ItemRunTimes();
    private final ResultPublisher mPublisher;
    private final JobClaimer mClaimer;
    private final IdleItemMonitor mIdleItemMonitor;
    private final CancellationView mCancellations;
    private final List<Long> mTimers = new ArrayList<>();
    private Runnable mOnItemsWaiting = () -> {};
    private boolean mStopping;

    /**
     * Creates a runner that owns no jobs.
     *
     * @param retentionMs age at which a finished job is removed from the store, milliseconds
     */
    public JobRunner(
            ServingContext context,
            JobStorage storage,
            JobIndex index,
            HostLease lease,
            long retentionMs) {
        mContext = context;
        mStorage = storage;
        mIndex = index;
        mLease = lease;
        mRetentionMs = retentionMs;
        mCancellations =
                new CancellationView(
                        context.ticker(), storage, index, lease::renewedAt, this::offerItems);
        mPublisher = new ResultPublisher(context, storage, index, lease, mOwnedJobs);
        mClaimer = new JobClaimer(context, storage, index, lease, mOwnedJobs, this::add);
        mIdleItemMonitor = new IdleItemMonitor(context, index, lease, mOwnedJobs, this::holdOf);
    }

    /**
     * Starts to run items, publish results and take over jobs.
     *
     * @param onItemsWaiting runs when further items wait for a placement
     */
    public void start(Runnable onItemsWaiting) {
        mOnItemsWaiting = onItemsWaiting;
        mIndex.addChangeListener(this::onJobChange);
        schedulePeriodic(ADVANCE_INTERVAL_MS, this::advanceJobs);
        schedulePeriodic(PUBLISH_CHECK_INTERVAL_MS, this::publishDueResults);
        schedulePeriodic(CLAIM_INTERVAL_MS, mClaimer::claimJobs);
        schedulePeriodic(CANCELLATION_CHECK_INTERVAL_MS, this::checkCancellations);
        schedulePeriodic(IDLE_CHECK_INTERVAL_MS, mIdleItemMonitor::check);
        schedulePeriodic(
                CLEAN_INTERVAL_MS,
                new JobCleaner(mStorage, mIndex, mLease, mRetentionMs)::removeExpired);
    }

    private void schedulePeriodic(long periodMs, Runnable action) {
        mTimers.add(mContext.vertx().setPeriodic(periodMs, t -> action.run()));
    }

    /** Returns the number of jobs that this host owns. */
    public int ownedJobCount() {
        return mOwnedJobs.all().size();
    }

    /** Returns the number of items that are running at targets. */
    public int runningItemCount() {
        return mOwnedJobs.all().stream().mapToInt(job -> job.runs().size()).sum();
    }

    /** Returns for how long nothing has worked on the oldest idle item, seconds; 0 for none. */
    public double oldestIdleItemSeconds() {
        return mIdleItemMonitor.oldestSeconds();
    }

    /** Returns the item that nothing has worked on for the longest time, or null. */
    IdleItemMonitor.@Nullable IdleItem oldestIdleItem() {
        return mIdleItemMonitor.findOldest();
    }

    /** Returns a job that this host owns, or null. */
    @Nullable OwnedJob ownedJob(String jobId) {
        return mOwnedJobs.get(jobId);
    }

    /**
     * Reserves a job that this host is about to accept; see {@link OwnedJobs#reserve}.
     *
     * @return false if this host owns the job or has reserved it already
     */
    boolean reserve(String jobId) {
        return mOwnedJobs.reserve(jobId);
    }

    /** Ends a reservation, whatever the outcome of the acceptance. */
    void release(String jobId) {
        mOwnedJobs.release(jobId);
    }

    /** Adds a job that this host has just accepted, or has loaded after a claim. */
    void add(OwnedJob job) {
        long now = mContext.ticker().nanoTime();
        job.setLastPublicationNanos(now);
        job.progress().recordLoaded(now);
        mOwnedJobs.add(job);
        // The index may have received a cancellation or a later owner before the store's reply.
        onJobChange(job.id());
        checkCancellations();
        offerItems();
    }

    private void offerItems() {
        advanceJobs();
        mOnItemsWaiting.run();
    }

    /** Sends no item of a job that another host says it has cancelled, and reads whether it was. */
    public void onCancellationNotice(String jobId) {
        mCancellations.onNotice(jobId);
    }

    private void checkCancellations() {
        mCancellations.check(!mStopping && hasRunnableItems());
    }

    private boolean hasRunnableItems() {
        long now = mContext.ticker().nanoTime();
        return mOwnedJobs.all().stream().anyMatch(job -> job.progress().runnableItems(now) > 0);
    }

    private void onJobChange(String jobId) {
        OwnedJob job = mOwnedJobs.get(jobId);
        if (job == null) {
            return;
        }
        JobCodec.Owner currentOwner = mIndex.owner(jobId);
        boolean takenOver = currentOwner != null && currentOwner.revision() > job.ownerRevision();
        // An older cancellation is that of an earlier job with the same id.
        boolean isCancelled = mIndex.cancellationRevision(jobId) > job.ownerRevision();
        if (isCancelled) {
            LOG.info(
                    "step=job-end job={} revision={} owner_revision={} index_revision={}"
                            + " index_age_ms={} outcome=known",
                    jobId,
                    mIndex.cancellationRevision(jobId),
                    job.ownerRevision(),
                    mIndex.revision(),
                    mIndex.ageMs());
        }
        boolean isRemoved =
                mIndex.summary(jobId) == null && mIndex.revision() > job.ownerRevision();
        if (takenOver || isCancelled || isRemoved) {
            mOwnedJobs.remove(job, takenOver ? "taken-over" : "ended");
        }
    }

    @Override
    public boolean suspendOne(TargetInstance target) {
        long nowMs = System.currentTimeMillis();
        ItemRun last = null;
        long lastSlackMs = 0;
        for (OwnedJob job : mOwnedJobs.all()) {
            for (ItemRun run : job.runs().values()) {
                if (!run.target().equals(target)) {
                    continue;
                }
                long slackMs = slackMs(job, run.lastEventId(), nowMs);
                if (last == null || DueOrder.compare(slackMs, lastSlackMs) > 0) {
                    last = run;
                    lastSlackMs = slackMs;
                }
            }
        }
        if (last != null) {
            last.suspend();
        }
        return last != null;
    }

    private List<OwnedJob> jobsBySlack() {
        long nowMs = System.currentTimeMillis();
        List<JobSlack> jobs = new ArrayList<>();
        mOwnedJobs.all().forEach(job -> jobs.add(new JobSlack(job, nextSlackMs(job, nowMs))));
        jobs.sort((job, other) -> DueOrder.compare(job.slackMs(), other.slackMs()));
        return jobs.stream().map(JobSlack::job).toList();
    }

    /** Returns the slack of the job's item that is to run next, milliseconds. */
    private long nextSlackMs(OwnedJob job, long nowMs) {
        int index = job.progress().nextItem(mContext.ticker().nanoTime());
        return slackMs(job, index < 0 ? 0 : job.progress().lastEventId(index), nowMs);
    }

    /**
     * Returns the latest time, from now, at which an item of {@code job} can start and still end in
     * time, milliseconds; negative when it can no longer end in time.
     *
     * @param lastEventId id of the last event received for the item; 0 when there is none
     */
    private long slackMs(OwnedJob job, long lastEventId, long nowMs) {
        long remainingMs = mRunTimes.remainingMs(job.summary().route(), lastEventId);
        return dueInMs(job, nowMs) - remainingMs;
    }

    /** Returns the time until the job is due, milliseconds; negative when it is overdue. */
    private long dueInMs(OwnedJob job, long nowMs) {
        ServingRoute route = mContext.state().config().routeByName(job.summary().route());
        long completionMs = route == null ? 0 : route.completionMs();
        return job.summary().acceptedAtMs() + completionMs - nowMs;
    }

    @Override
    public boolean runOne(String service, TargetInstance target) {
        if (mStopping) {
            return false;
        }
        for (OwnedJob job : jobsBySlack()) {
            ServingRoute route = mContext.state().config().routeByName(job.summary().route());
            if (route == null || !route.sendsTo(service)) {
                continue;
            }
            int index = nextItem(job, target);
            if (index >= 0) {
                startRun(job, index, route, target);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the index of the next item that may be sent to {@code target}, or -1; there is none
     * while this host does not know which jobs are cancelled. Items whose prompts are in quarantine
     * stay open and are looked at again later, once a probe was claimed for one of them or the
     * quarantine is over.
     */
    private int nextItem(OwnedJob job, TargetInstance target) {
        if (!mCancellations.allowsSending(job.id())) {
            return -1;
        }
        long now = mContext.ticker().nanoTime();
        int index = job.progress().nextItem(now, target.software(), this::isServed);
        while (index >= 0 && isPromptQuarantined(job.progress().item(index), target.service())) {
            claimProbe(job, index, target.service());
            job.progress().defer(index, now + QUARANTINE_CHECK_NANOS);
            index = job.progress().nextItem(now, target.software(), this::isServed);
        }
        return index;
    }

    private void claimProbe(OwnedJob job, int index, String service) {
        PromptParts prompt = ItemRun.promptOf(mContext, job.progress().item(index));
        Runnable onClaimed =
                () -> {
                    job.progress().defer(index, mContext.ticker().nanoTime());
                    offerItems();
                };
        mContext.promptGuard().claimItemProbe(service, prompt, onClaimed);
    }

    private boolean isServed(TargetSoftware software) {
        return !mContext.state()
                .targets()
                .readyTargets(software.service(), software.version())
                .isEmpty();
    }

    private boolean isPromptQuarantined(JobItem item, String service) {
        PromptParts prompt = ItemRun.promptOf(mContext, item);
        return mContext.promptGuard().blocking(service, prompt, item.id()) != null;
    }

    private @Nullable ItemHold holdOf(OwnedJob job, int index) {
        List<ItemHold> holds = new ArrayList<>();
        if (!mCancellations.allowsSending(job.id())) {
            holds.add(new ItemHold("cancellations-unknown", CANCELLATION_CHECK_INTERVAL_MS));
        }
        ServingRoute route = mContext.state().config().routeByName(job.summary().route());
        if (route != null) {
            PromptParts prompt = ItemRun.promptOf(mContext, job.progress().item(index));
            route.shares().forEach(share -> addQuarantines(share.service(), prompt, holds));
        }
        return holds.isEmpty() ? null : ItemHold.all(holds);
    }

    private void addQuarantines(String service, PromptParts prompt, List<ItemHold> holds) {
        for (PromptQuarantine.Entry entry : mContext.promptGuard().holding(service, prompt)) {
            long dueInMs = mContext.promptGuard().probeDueInMs(entry, prompt);
            holds.add(new ItemHold("quarantine:" + entry.suspect().label(), dueInMs));
        }
    }

    private void startRun(OwnedJob job, int index, ServingRoute route, TargetInstance target) {
        new ItemRun(
                        mContext,
                        job,
                        index,
                        route,
                        target,
                        mRunTimes,
                        mCancellations,
                        () -> onRunEnd(job))
                .start();
    }

    @Override
    public Map<String, Integer> waitingItems() {
        Map<String, Integer> waiting = new HashMap<>();
        if (mStopping) {
            return waiting;
        }
        for (OwnedJob job : mOwnedJobs.all()) {
            ServingRoute route = mContext.state().config().routeByName(job.summary().route());
            int waitingItems = job.progress().runnableItems(mContext.ticker().nanoTime());
            if (route == null || waitingItems == 0) {
                continue;
            }
            for (ServiceShare share : route.shares()) {
                waiting.merge(share.service(), waitingItems, Integer::sum);
            }
        }
        return waiting;
    }

    @Override
    public long firstDueInMs() {
        long nowMs = System.currentTimeMillis();
        long nowNanos = mContext.ticker().nanoTime();
        return jobsBySlack().stream()
                .filter(job -> job.progress().runnableItems(nowNanos) > 0)
                .findFirst()
                .map(job -> nextSlackMs(job, nowMs))
                .orElse(0L);
    }

    @Override
    public ItemRunTimes runTimes() {
        return mRunTimes;
    }

    private void advanceJobs() {
        if (mStopping || mOwnedJobs.isEmpty()) {
            return;
        }
        for (OwnedJob job : jobsBySlack()) {
            ServingRoute route = mContext.state().config().routeByName(job.summary().route());
            if (route == null) {
                failIfRouteRemoved(job);
            } else if (isPastRetention(job, route)) {
                failUnfinishedItems(job, "retention-over");
            } else {
                job.clearRouteMissing();
                startUncoordinatedRuns(job, route);
            }
        }
    }

    /**
     * Fails the unfinished items of a job whose route was removed. The route has to be missing for
     * a while, since this host's configuration may be older than the job or not be loaded yet.
     */
    private void failIfRouteRemoved(OwnedJob job) {
        long nowNanos = mContext.ticker().nanoTime();
        if (!mContext.state().config().isKnown()) {
            return;
        }
        if (nowNanos - job.markRouteMissing(nowNanos) > ROUTE_REMOVAL_GRACE_NANOS) {
            failUnfinishedItems(job, "route-removed");
        }
    }

    /** Starts items of services that no host coordinates. */
    private void startUncoordinatedRuns(OwnedJob job, ServingRoute route) {
        while (job.progress().nextItem(mContext.ticker().nanoTime()) >= 0) {
            String service = route.selectService(ThreadLocalRandom.current().nextDouble());
            TargetInstance target =
                    mContext.placementClient().uncoordinatedTarget(service, RESERVED_SLOTS);
            int index = target == null ? -1 : nextItem(job, target);
            if (target == null || index < 0) {
                return;
            }
            startRun(job, index, route, target);
        }
    }

    private void onRunEnd(OwnedJob job) {
        if (job.progress().allFinal()) {
            mPublisher.publish(job);
        }
        advanceJobs();
    }

    private static boolean isPastRetention(OwnedJob job, ServingRoute route) {
        long ageMs = System.currentTimeMillis() - job.summary().acceptedAtMs();
        return route.retentionMs() > 0 && ageMs > route.retentionMs();
    }

    private void failUnfinishedItems(OwnedJob job, String reason) {
        List<Integer> unfinished = job.progress().unfinishedItems();
        if (unfinished.isEmpty()) {
            return;
        }
        job.suspendRuns();
        unfinished.forEach(job.progress()::failPermanently);
        LOG.info("step=job job={} items={} outcome={}", job.id(), unfinished.size(), reason);
        mPublisher.publish(job);
    }

    private void publishDueResults() {
        long nowMs = System.currentTimeMillis();
        long nowNanos = mContext.ticker().nanoTime();
        for (OwnedJob job : List.copyOf(mOwnedJobs.all())) {
            long sinceLastMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - job.lastPublicationNanos());
            if (PublishSchedule.isDue(dueInMs(job, nowMs), sinceLastMs)) {
                mPublisher.publish(job);
            }
        }
    }

    /**
     * Suspends all runs and publishes the finished results, so that other hosts can continue the
     * jobs. The returned future never fails.
     */
    public Future<Void> handOver() {
        mStopping = true;
        mClaimer.stop();
        mOwnedJobs.all().forEach(OwnedJob::suspendRuns);
        return mPublisher.stop().otherwiseEmpty();
    }

    @Override
    public void close() {
        mTimers.forEach(mContext.vertx()::cancelTimer);
    }
}
