package org.sesamepin.node.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.serving.HostLease;
import org.sesamepin.node.serving.ServingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the accepted item that nothing has worked on for the longest time: an item of an owned job
 * that waits for a run, or whose result waits for the store, and a job that this host may run or is
 * to run, but does not. Confined to the event loop.
 */
final class IdleItemMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(IdleItemMonitor.class);
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * An item that nothing works on.
     *
     * @param item id of the item; "-" for all open items of a job that this host does not run
     * @param sinceNanos reading of the monotonic clock since which nothing works on it
     */
    record IdleItem(String job, String item, long sinceNanos, ItemHold hold) {}

    private final ServingContext mContext;
    private final JobIndex mIndex;
    private final HostLease mLease;
    private final OwnedJobs mOwnedJobs;
    private final ItemHold.Finder mHoldFinder;
    private final Map<String, Long> mNotRunSinceNanos = new HashMap<>();

    /**
     * Creates a monitor.
     *
     * @param holdFinder finds the holds that depend on the item itself
     */
    IdleItemMonitor(
            ServingContext context,
            JobIndex index,
            HostLease lease,
            OwnedJobs ownedJobs,
            ItemHold.Finder holdFinder) {
        mContext = context;
        mIndex = index;
        mLease = lease;
        mOwnedJobs = ownedJobs;
        mHoldFinder = holdFinder;
    }

    /** Returns for how long nothing has worked on the oldest idle item, seconds; 0 for none. */
    double oldestSeconds() {
        IdleItem oldest = findOldest();
        return oldest == null ? 0 : (double) ageNanos(oldest) / TimeUnit.SECONDS.toNanos(1);
    }

    /** Logs the oldest idle item if nothing has worked on it for too long. */
    void check() {
        IdleItem oldest = findOldest();
        if (oldest == null || ageNanos(oldest) <= MAX_IDLE_NANOS) {
            return;
        }
        LOG.warn(
                "step=idle-item request={} job={} idle_ms={} hold={} next_check_ms={}",
                oldest.item(),
                oldest.job(),
                TimeUnit.NANOSECONDS.toMillis(ageNanos(oldest)),
                oldest.hold().name(),
                oldest.hold().nextCheckMs());
    }

    private long ageNanos(IdleItem item) {
        return now() - item.sinceNanos();
    }

    private long now() {
        return mContext.ticker().nanoTime();
    }

    /** Returns the item that nothing has worked on for the longest time; null for none. */
    @Nullable IdleItem findOldest() {
        IdleItem oldest = oldestNotRun();
        for (OwnedJob job : mOwnedJobs.all()) {
            oldest = older(oldest, unwrittenResult(job));
            oldest = older(oldest, oldestWaiting(job));
        }
        return oldest;
    }

    private static @Nullable IdleItem older(@Nullable IdleItem item, @Nullable IdleItem other) {
        if (item == null || other == null) {
            return item == null ? other : item;
        }
        return other.sinceNanos() - item.sinceNanos() < 0 ? other : item;
    }

    /** Returns the job that has no process to run it for the longest time, as far as known here. */
    private @Nullable IdleItem oldestNotRun() {
        long now = now();
        List<String> jobs =
                mIndex.openJobsNotOwnedByOthers(mLease.host()).stream()
                        .filter(job -> mOwnedJobs.get(job) == null)
                        .toList();
        mNotRunSinceNanos.keySet().retainAll(jobs);
        IdleItem oldest = null;
        for (String job : jobs) {
            long since = mNotRunSinceNanos.computeIfAbsent(job, id -> now);
            ItemHold hold = new ItemHold("not-claimed", JobRunner.CLAIM_INTERVAL_MS);
            oldest = older(oldest, new IdleItem(job, "-", since, hold));
        }
        return oldest;
    }

    /** Returns the first result of a job whose write the store has not confirmed; null for none. */
    private static @Nullable IdleItem unwrittenResult(OwnedJob job) {
        if (job.pendingWrite() == null) {
            return null;
        }
        ItemHold hold = new ItemHold("result-write", ResultPublisher.RETRY_DELAY_MS);
        String item = job.progress().unpublishedResults(1).get(0).id();
        return new IdleItem(job.id(), item, job.lastPublicationNanos(), hold);
    }

    private @Nullable IdleItem oldestWaiting(OwnedJob job) {
        int oldest = -1;
        long oldestSince = 0;
        for (int i = 0; i < job.progress().itemCount(); i++) {
            OptionalLong since = job.progress().waitingSince(i);
            boolean isOlder = oldest < 0 || since.orElse(0) - oldestSince < 0;
            if (since.isPresent() && isOlder) {
                oldest = i;
                oldestSince = since.getAsLong();
            }
        }
        if (oldest < 0) {
            return null;
        }
        String item = job.progress().item(oldest).id();
        return new IdleItem(job.id(), item, oldestSince, holdOf(job, oldest));
    }

    private ItemHold holdOf(OwnedJob job, int index) {
        ServingConfig config = mContext.state().config();
        ServingRoute route = config.routeByName(job.summary().route());
        if (route == null) {
            String name = config.isKnown() ? "no-route" : "no-configuration";
            return new ItemHold(name, JobRunner.ADVANCE_INTERVAL_MS);
        }
        ItemHold hold = mHoldFinder.find(job, index);
        if (hold != null) {
            return hold;
        }
        long backOffNanos = job.progress().backOffNanos(index, now());
        if (backOffNanos > 0) {
            return ItemHold.of("back-off", backOffNanos);
        }
        boolean hasTarget =
                route.shares().stream()
                        .anyMatch(
                                share ->
                                        !mContext.state()
                                                .targets()
                                                .readyTargets(share.service())
                                                .isEmpty());
        return new ItemHold(hasTarget ? "no-slot" : "no-target", JobRunner.ADVANCE_INTERVAL_MS);
    }
}
