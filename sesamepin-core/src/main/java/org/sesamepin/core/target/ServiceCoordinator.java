package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Places the requests of all hosts on the targets of one service. The targets admit requests in
 * order of arrival and know no priorities, so the order is decided here.
 *
 * <p>When a burst fills all targets, batch items are preempted at once. Further online requests
 * wait here for the first free slot, and a request that cannot be served in time is rejected at
 * once. Slots of fast targets are used before those of slow targets. All state is soft: another
 * host can take over the role from the reports of the hosts alone. Not thread-safe.
 */
public final class ServiceCoordinator {
    /**
     * An online request that needs a target.
     *
     * @param requestId id of the request
     * @param host host that sends the request to the target
     * @param rank priority; 0 is the highest
     * @param isRetry whether the caller was rejected before and tries again
     * @param latencyObjectiveNanos latency objective for the first part of the response,
     *     nanoseconds
     * @param deadline reading of the monotonic clock at which the caller stops waiting, nanoseconds
     * @param excluded incarnations of targets on which the request must not be placed
     * @param version software version of the targets on which it may be placed, because it
     *     continues a stream that began there; null for any
     * @param route name of the route
     * @param size tokens that the request declares
     */
    public record Request(
            String requestId,
            String host,
            int rank,
            boolean isRetry,
            long latencyObjectiveNanos,
            long deadline,
            Set<String> excluded,
            @Nullable String version,
            String route,
            RequestSize size) {
        /** Creates a request that declares no tokens. */
        public Request(
                String requestId,
                String host,
                int rank,
                boolean isRetry,
                long latencyObjectiveNanos,
                long deadline,
                Set<String> excluded,
                @Nullable String version) {
            this(
                    requestId,
                    host,
                    rank,
                    isRetry,
                    latencyObjectiveNanos,
                    deadline,
                    excluded,
                    version,
                    "",
                    RequestSize.NONE);
        }

        private boolean mayUse(TargetInstance target) {
            return (version == null || target.version().equals(version))
                    && !excluded.contains(target.incarnation());
        }

        /**
         * Returns those of {@code targets} on which a request that continues a stream may go on.
         */
        private List<TargetInstance> usable(List<TargetInstance> targets) {
            if (version == null) {
                return targets;
            }
            return targets.stream().filter(this::mayUse).toList();
        }
    }

    /**
     * A host's report of its requests at the targets of the service.
     *
     * @param host name of the host
     * @param onlineInFlight online requests in flight, by incarnation of the target
     * @param batchInFlight batch items in flight, by incarnation of the target
     * @param failingTargets incarnations of targets that recently failed requests of the host
     * @param eventIntervalsMs mean time between two events of a stream, milliseconds, by
     *     incarnation of the target; empty when the host has no new measurements
     * @param waitingItems batch items that wait at the host for a placement
     * @param firstDueAt reading of the monotonic clock at which the first of them is due,
     *     nanoseconds
     * @param stamp place of the report among those of the host; null when the host does not name
     *     the grants that its reports contain
     */
    public record HostStatus(
            String host,
            Map<String, Integer> onlineInFlight,
            Map<String, Integer> batchInFlight,
            Set<String> failingTargets,
            Map<String, Double> eventIntervalsMs,
            int waitingItems,
            long firstDueAt,
            @Nullable ReportStamp stamp) {}

    /**
     * A granted placement of one request on a target.
     *
     * @param requestId id of the online request; empty for a batch item
     * @param host host that sends the request
     * @param target target to which the host sends the request
     * @param occupancy requests at the target divided by its slots, without this one
     * @param suspendingHost host that has to suspend one of its batch items at the target; empty
     *     when no item is preempted
     * @param number position among this coordinator's grants to the host, from 1 without gaps
     */
    public record Grant(
            String requestId,
            String host,
            TargetInstance target,
            double occupancy,
            String suspendingHost,
            long number) {}

    /**
     * Reply to a request for a placement. A request that is neither granted nor rejected is queued.
     *
     * @param grant the placement; null when there is none yet
     * @param rejected whether the request is rejected instead of queued
     * @param retryAfterNanos time after which the caller of a rejected request should retry,
     *     nanoseconds
     */
    public record Reply(@Nullable Grant grant, boolean rejected, long retryAfterNanos) {}

    private static final int MAX_QUEUE_LENGTH = 400;

    private static final long INITIAL_SERVICE_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Slots below which a predicted wait does not grow further. */
    private static final double MIN_SLOTS = 0.05;

    private static final double SERVICE_TIME_GAIN = 0.1;

    /**
     * Time without a placement after which the items of a host take a slow target: online requests
     * may keep the faster ones full.
     */
    private static final long MAX_WAIT_FOR_FAST_TARGET_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final TargetRateLimits mLimits;
    private final TargetRequestBuckets mBuckets;
    private final InFlightTable mInFlight = new InFlightTable();
    private final TargetSpeeds mSpeeds = new TargetSpeeds();
    private final WorkEstimator mEstimator = new WorkEstimator();
    private final TargetWorkload mWorkload = new TargetWorkload();
    private final TargetChoice mChoice;
    private final OnlineQueue mQueue = new OnlineQueue();
    private final WaitingItemsTable mWaitingItems = new WaitingItemsTable();
    private double mMeanServiceTimeNanos = INITIAL_SERVICE_TIME_NANOS;

    /** Latency objective of the newest online request; 0 before the first one. */
    private long mLatencyObjectiveNanos;

    /**
     * Creates a coordinator that gives out what {@code limits} allows for all hosts.
     *
     * @param paces how long work takes at the targets now
     */
    public ServiceCoordinator(TargetRateLimits limits, TargetPaces paces) {
        mLimits = limits;
        mBuckets = TargetRequestBuckets.ofFleet(limits);
        mChoice = new TargetChoice(limits, paces, mBuckets, mInFlight, mSpeeds, mWorkload);
    }

    /** Records the time that an online request took from being sent to its end, nanoseconds. */
    public void recordServiceTime(long serviceTimeNanos) {
        mMeanServiceTimeNanos += SERVICE_TIME_GAIN * (serviceTimeNanos - mMeanServiceTimeNanos);
    }

    /**
     * Records an online request that has ended, from which the work of later ones is estimated.
     *
     * @param target incarnation of the target that ran it
     * @param elapsedMs time from being sent to its end, milliseconds
     */
    public void recordEnded(
            String route,
            RequestSize size,
            String target,
            double elapsedMs,
            List<TargetInstance> targets) {
        double slowdown = mSpeeds.slowdowns(targets).getOrDefault(target, 1.0);
        mEstimator.record(route, size, elapsedMs / slowdown);
    }

    /**
     * Records the report of a host; it replaces the host's former report. A report that was made
     * before the former one is ignored.
     */
    public void recordReport(HostStatus status, long now) {
        Set<String> targets = new HashSet<>(status.onlineInFlight().keySet());
        targets.addAll(status.batchInFlight().keySet());
        Map<String, InFlightTable.Count> counts = new HashMap<>();
        for (String target : targets) {
            int online = status.onlineInFlight().getOrDefault(target, 0);
            int batch = status.batchInFlight().getOrDefault(target, 0);
            counts.put(target, new InFlightTable.Count(online, batch));
        }
        boolean isNewest =
                mInFlight.recordReport(
                        status.host(), counts, status.failingTargets(), status.stamp(), now);
        if (!isNewest) {
            return;
        }
        if (!mWorkload.isEmpty()) {
            mWorkload.retain(status.host(), mInFlight.onlineOf(status.host()), now);
        }
        mSpeeds.recordReport(status.host(), status.eventIntervalsMs());
        mWaitingItems.recordReport(status.host(), status.waitingItems(), status.firstDueAt(), now);
    }

    /**
     * Places an online request, queues it, or rejects it. A request is rejected when there are no
     * targets that it may use, when the queue is full, when it is predicted to miss its latency
     * objective and is not a retry, or when it is late and predicted to miss its deadline. A
     * repeated request replaces its former copy.
     */
    public Reply requestPlacement(Request request, List<TargetInstance> targets, long now) {
        mQueue.dropExpired(now);
        mLatencyObjectiveNanos = request.latencyObjectiveNanos();
        OnlineQueue.Entry entry = mQueue.takeForRepeat(request, now);
        Grant grant = place(entry, targets, now);
        if (grant != null) {
            mQueue.recordPlacement(entry, now);
            return new Reply(grant, false, 0);
        }
        List<TargetInstance> usable = request.usable(targets);
        double slots = usable.stream().mapToDouble(this::usableSlots).sum();
        double allSlots = targets.stream().mapToDouble(this::usableSlots).sum();
        double share = request.version() == null ? 1 : slots / Math.max(MIN_SLOTS, allSlots);
        long waitNanos = waitNanos(mQueue.countInTimeBefore(entry, share, now), slots);
        boolean inTime = !entry.isLate(now) && entry.isInTimeAfter(waitNanos, now);
        if (usable.isEmpty() || mQueue.size() >= MAX_QUEUE_LENGTH) {
            return new Reply(null, true, waitNanos);
        }
        boolean rejected =
                !inTime && (!request.isRetry() || expiresWhileLate(entry, slots, share, now));
        if (rejected) {
            return new Reply(null, true, waitNanos);
        }
        mQueue.add(inTime ? entry : entry.late());
        return new Reply(null, false, 0);
    }

    /** Returns whether a late request is predicted to get no slot before its caller leaves. */
    private boolean expiresWhileLate(
            OnlineQueue.Entry entry, double slots, double share, long now) {
        double slotsForLate = slots * mQueue.lateFraction();
        long waitNanos = waitNanos(mQueue.countLateBefore(entry, share, now), slotsForLate);
        return now + waitNanos - entry.request().deadline() >= 0;
    }

    private long waitNanos(double before, double slots) {
        return (long) ((before + 1) * mMeanServiceTimeNanos / Math.max(MIN_SLOTS, slots));
    }

    /** Returns the slots that a target can keep busy with the requests that it takes. */
    private double usableSlots(TargetInstance target) {
        double serviceTimeS = mMeanServiceTimeNanos / NANOS_PER_SECOND;
        return Math.min(target.slots(), mLimits.perS(target.incarnation()) * serviceTimeS);
    }

    /** Removes a request from the queue, for example because its caller has left. */
    public void withdraw(String requestId) {
        mQueue.withdraw(requestId);
    }

    /**
     * Removes and returns the waiting requests that continue streams and have no target left that
     * they may use.
     */
    public List<Request> rejectWithoutTarget(List<TargetInstance> targets) {
        List<Request> rejected = mQueue.requests();
        rejected.removeIf(
                request -> request.version() == null || !request.usable(targets).isEmpty());
        rejected.forEach(request -> mQueue.withdraw(request.requestId()));
        return rejected;
    }

    private @Nullable Grant place(OnlineQueue.Entry entry, List<TargetInstance> targets, long now) {
        Request request = entry.request();
        Map<String, InFlightTable.Count> totals = mInFlight.totalsByTarget(now);
        List<TargetInstance> usable = request.usable(targets);
        boolean mayPreempt =
                !backlogAt(targets)
                        .letsRequestsWait(
                                now - entry.receivedAt(),
                                nanosUntilOnlineSlot(entry, usable, totals, now),
                                request.latencyObjectiveNanos());
        TargetInstance target = mChoice.forRequest(request, usable, totals, mayPreempt, now);
        if (target == null) {
            return null;
        }
        InFlightTable.Count count =
                totals.getOrDefault(target.incarnation(), InFlightTable.Count.NONE);
        return grant(request, target, count, now);
    }

    private BatchBacklog backlogAt(List<TargetInstance> targets) {
        int slots = targets.stream().mapToInt(TargetInstance::slots).sum();
        return new BatchBacklog(mWaitingItems.total(), slots);
    }

    /**
     * Returns the expected time until online requests in flight have left a slot to {@code entry},
     * nanoseconds; items, which run for long, do not count.
     */
    private double nanosUntilOnlineSlot(
            OnlineQueue.Entry entry,
            List<TargetInstance> usable,
            Map<String, InFlightTable.Count> totals,
            long now) {
        double before = mQueue.countInTimeBefore(entry, 1, now);
        return (before + 1) * nanosBetweenOnlineEnds(usable, totals);
    }

    private double nanosBetweenOnlineEnds(
            List<TargetInstance> targets, Map<String, InFlightTable.Count> totals) {
        int online = 0;
        for (TargetInstance target : targets) {
            online += totals.getOrDefault(target.incarnation(), InFlightTable.Count.NONE).online();
        }
        return mMeanServiceTimeNanos / Math.max(MIN_SLOTS, online);
    }

    private Grant grant(
            Request request, TargetInstance target, InFlightTable.Count count, long now) {
        int total = count.online() + count.batch();
        String suspendingHost = "";
        if (total >= target.slots() && count.batch() > 0) {
            suspendingHost = mInFlight.hostWithMostBatchItems(target.incarnation());
            mInFlight.recordSuspension(suspendingHost, target.incarnation());
        }
        long number = mInFlight.recordGrant(request.host(), target.incarnation(), false, now);
        mBuckets.recordStart(target.incarnation());
        WorkEstimator.Estimate work = mEstimator.estimate(request.route(), request.size());
        if (work != null) {
            mWorkload.recordGrant(request.host(), target.incarnation(), work, now);
        }
        double occupancy = (double) total / Math.max(1, target.slots());
        return new Grant(
                request.requestId(), request.host(), target, occupancy, suspendingHost, number);
    }

    /** Places waiting requests and items: online requests first, then batch items by due time. */
    public List<Grant> placeWaiting(List<TargetInstance> targets, long now) {
        mQueue.dropExpired(now);
        List<Grant> grants = new ArrayList<>();
        for (OnlineQueue.Entry entry : mQueue.ordered(now)) {
            Grant grant = place(entry, targets, now);
            if (grant != null) {
                mQueue.remove(entry);
                mQueue.recordPlacement(entry, now);
                grants.add(grant);
            }
        }
        mWaitingItems.dropExpired(now);
        placeBatchItems(targets, now, grants);
        return grants;
    }

    /** Returns the incarnations of the targets that a waiting online request may use. */
    private Set<String> targetsOfQueue(List<TargetInstance> targets) {
        List<Request> waiting = mQueue.requests();
        Set<String> wanted = new HashSet<>();
        for (TargetInstance target : targets) {
            if (waiting.stream().anyMatch(request -> request.mayUse(target))) {
                wanted.add(target.incarnation());
            }
        }
        return wanted;
    }

    private void placeBatchItems(List<TargetInstance> targets, long now, List<Grant> grants) {
        Set<String> wantedTargets = targetsOfQueue(targets);
        Set<String> hostsWithoutTarget = new HashSet<>();
        Set<TargetChoice.ItemTargets> withoutRoom = new HashSet<>();
        String host = mWaitingItems.hostWithFirstDueItem(hostsWithoutTarget, now);
        while (!host.isEmpty()) {
            TargetChoice.ItemTargets usable = targetsForItems(host, targets, wantedTargets, now);
            Grant grant =
                    withoutRoom.contains(usable)
                            ? null
                            : placeBatchItem(host, targets, usable, now);
            if (grant == null) {
                withoutRoom.add(usable);
                hostsWithoutTarget.add(host);
            } else {
                grants.add(grant);
                mWaitingItems.removeOne(host, now);
            }
            host = mWaitingItems.hostWithFirstDueItem(hostsWithoutTarget, now);
        }
    }

    private TargetChoice.ItemTargets targetsForItems(
            String host, List<TargetInstance> targets, Set<String> wantedTargets, long now) {
        Set<String> unusable = new HashSet<>(mInFlight.targetsToAvoid(host, targets));
        unusable.addAll(wantedTargets);
        boolean waitsForFastTarget =
                mWaitingItems.waitedNanos(host, now) < MAX_WAIT_FOR_FAST_TARGET_NANOS;
        return new TargetChoice.ItemTargets(
                unusable, TargetChoice.maxSlowdownOfItems(waitsForFastTarget));
    }

    private @Nullable Grant placeBatchItem(
            String host,
            List<TargetInstance> targets,
            TargetChoice.ItemTargets usableTargets,
            long now) {
        Map<String, InFlightTable.Count> totals = mInFlight.totalsByTarget(now);
        BatchBacklog backlog = backlogAt(targets);
        int reservedSlots =
                backlog.reservedSlots(
                        nanosBetweenOnlineEnds(targets, totals), mLatencyObjectiveNanos);
        TargetInstance target =
                mChoice.forItem(usableTargets, targets, totals, backlog, reservedSlots, now);
        if (target == null) {
            return null;
        }
        long number = mInFlight.recordGrant(host, target.incarnation(), true, now);
        mBuckets.recordStart(target.incarnation());
        return new Grant("", host, target, 0, "", number);
    }

    /** Returns the number of grants that no report of their host contains yet. */
    public int unreportedGrants() {
        return mInFlight.unreportedGrants();
    }

    /** Returns the number of online requests in the queue. */
    public int queueLength() {
        return mQueue.size();
    }
}
