package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.DueOrder;

/**
 * Places the requests of all hosts on the targets of one service, which admit requests in the order
 * of their arrival and know no ranks. Answers pulses that fill all targets: batch items give way at
 * once, then online requests wait here for the first free slot, and what cannot be served in time
 * is refused at once. A slot of a fast target is taken before one of a slow target. All state is
 * soft: another host can go on from the reports alone. Not thread-safe.
 */
public final class ServiceCoordinator {
    /**
     * An online request that wants a target.
     *
     * @param requestId id of the request
     * @param host host that sends it
     * @param rank urgency; 0 is the most urgent
     * @param isRetry whether its caller was refused before
     * @param latencyObjectiveNanos time within which the first piece is on time
     * @param deadline when the caller stops waiting
     * @param excluded incarnations of targets that must not get it
     */
    public record Request(
            String requestId,
            String host,
            int rank,
            boolean isRetry,
            long latencyObjectiveNanos,
            long deadline,
            Set<String> excluded) {}

    /**
     * What a host says of its requests at the targets of the service.
     *
     * @param host name of the host
     * @param onlineInFlight online requests in flight, by incarnation of the target
     * @param batchInFlight batch items in flight, by incarnation of the target
     * @param failingTargets incarnations of targets that lately failed requests of the host
     * @param eventIntervalsMs mean time between two events of a stream, milliseconds, by
     *     incarnation; empty when the host tells nothing new
     * @param waitingItems batch items that wait at the host for a place
     * @param firstDueAt when the first of them is due
     */
    public record HostStatus(
            String host,
            Map<String, Integer> onlineInFlight,
            Map<String, Integer> batchInFlight,
            Set<String> failingTargets,
            Map<String, Double> eventIntervalsMs,
            int waitingItems,
            long firstDueAt) {}

    /**
     * A place for one request.
     *
     * @param requestId id of the online request; empty for a batch item
     * @param host host that sends the request
     * @param target target that gets it
     * @param occupancy requests at the target for each of its slots, before this one
     * @param suspendingHost host that has to suspend a batch item there; empty for none
     */
    public record Grant(
            String requestId,
            String host,
            TargetInstance target,
            double occupancy,
            String suspendingHost) {}

    /**
     * Answer to an ask.
     *
     * @param grant the place; null when there is none yet
     * @param rejected whether the request had better not wait
     * @param retryAfterNanos when the caller of a refused request had better return
     */
    public record Reply(@Nullable Grant grant, boolean rejected, long retryAfterNanos) {}

    /** Requests that may wait at a target, so that a slot is not idle until the next grant. */
    private static final int QUEUED_AT_TARGET = 1;

    /** Slots of a target that batch items leave to online requests that come meanwhile. */
    private static final int RESERVED_SLOTS = 1;

    /** Part of the latency objective that a request may wait here and yet be on time. */
    private static final double WAITABLE_PART = 0.6;

    private static final int MAX_QUEUE = 400;

    /** Hosts repeat what waits more often than this; an ask that is not repeated has no caller. */
    private static final long ASK_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long FIRST_SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double GAIN = 0.1;

    /** How much an item at a target counts beside an online request, since it gives way. */
    private static final double ITEM_WEIGHT = 0.04;

    /** More than the cost of any target with a free slot. */
    private static final double PREEMPTION_COST = 1_000;

    private static final double QUEUEING_COST = 2_000;

    /**
     * Items wait for a faster target rather than run this many times longer than on the fastest.
     */
    private static final double MAX_ITEM_SLOWNESS = 2;

    private static final Comparator<Queued> ORDER =
            Comparator.comparing(
                    Queued::ask,
                    Comparator.comparingInt(Request::rank)
                            .thenComparing(ask -> !ask.isRetry())
                            .thenComparingLong(Request::deadline));

    /** An ask that waits; {@code at} is when its host sent it last. */
    private record Queued(Request ask, long at) {}

    private record Demand(int items, long due) {
        @Nullable Demand less() {
            return items > 1 ? new Demand(items - 1, due) : null;
        }
    }

    private final HostLoads mLoads = new HostLoads();
    private final TargetSpeeds mSpeeds = new TargetSpeeds();
    private final List<Queued> mQueue = new ArrayList<>();
    private final Map<String, Demand> mDemand = new HashMap<>();
    private double mServiceNanos = FIRST_SERVICE_NANOS;

    /** Takes in how long an online request took from its send to its end. */
    public void recordServiceTime(long nanos) {
        mServiceNanos += GAIN * (nanos - mServiceNanos);
    }

    /** Takes in a host's report. */
    public void recordReport(HostStatus status, long now) {
        Set<String> targets = new HashSet<>(status.onlineInFlight().keySet());
        targets.addAll(status.batchInFlight().keySet());
        Map<String, HostLoads.Count> counts = new HashMap<>();
        for (String target : targets) {
            int online = status.onlineInFlight().getOrDefault(target, 0);
            int batch = status.batchInFlight().getOrDefault(target, 0);
            counts.put(target, new HostLoads.Count(online, batch));
        }
        mLoads.reported(status.host(), counts, status.failingTargets(), now);
        mSpeeds.reported(status.host(), status.eventIntervalsMs());
        if (status.waitingItems() > 0) {
            mDemand.put(status.host(), new Demand(status.waitingItems(), status.firstDueAt()));
        } else {
            mDemand.remove(status.host());
        }
    }

    /** Places an online request, lets it wait, or refuses it. */
    public Reply requestPlacement(Request ask, List<TargetInstance> targets, long now) {
        dropExpired(now);
        withdraw(ask.requestId());
        Grant grant = place(ask, targets, now);
        if (grant != null) {
            return new Reply(grant, false, 0);
        }
        long wait = predictedWait(ask, targets);
        boolean late = wait > ask.latencyObjectiveNanos() * WAITABLE_PART;
        boolean hopeless = now + wait - ask.deadline() >= 0;
        boolean refused = hopeless || mQueue.size() >= MAX_QUEUE || (late && !ask.isRetry());
        if (refused || targets.isEmpty()) {
            return new Reply(null, true, wait);
        }
        mQueue.add(new Queued(ask, now));
        mQueue.sort(ORDER);
        return new Reply(null, false, 0);
    }

    private long predictedWait(Request ask, List<TargetInstance> targets) {
        int slots = 0;
        for (TargetInstance target : targets) {
            slots += target.slots();
        }
        Queued own = new Queued(ask, 0);
        long before = mQueue.stream().filter(other -> ORDER.compare(other, own) <= 0).count();
        return (long) ((before + 1) * mServiceNanos / Math.max(1, slots));
    }

    private void dropExpired(long now) {
        mQueue.removeIf(
                queued -> now - queued.ask().deadline() >= 0 || now - queued.at() > ASK_LIFE_NANOS);
    }

    /** Forgets a request that waits. */
    public void withdraw(String askId) {
        mQueue.removeIf(queued -> queued.ask().requestId().equals(askId));
    }

    private @Nullable Grant place(Request ask, List<TargetInstance> targets, long now) {
        Set<String> avoided = mLoads.avoided(ask.host(), targets);
        Map<String, HostLoads.Count> totals = mLoads.totals(now);
        Map<String, Double> slowness = mSpeeds.slowness(targets);
        TargetInstance best = null;
        double bestCost = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            HostLoads.Count count = totals.getOrDefault(target.incarnation(), HostLoads.Count.NONE);
            int limit = target.slots() + QUEUED_AT_TARGET;
            boolean room = count.online() < limit;
            if (!room || isExcluded(ask, target, avoided)) {
                continue;
            }
            double load = (count.online() + count.batch() * ITEM_WEIGHT) / target.slots();
            double cost = slowness.getOrDefault(target.incarnation(), 1.0) * (1 + load);
            boolean full = count.online() + count.batch() >= target.slots();
            if (full) {
                cost += count.batch() > 0 ? PREEMPTION_COST : QUEUEING_COST;
            }
            if (cost < bestCost) {
                bestCost = cost;
                best = target;
            }
        }
        return best == null ? null : grant(ask, best, totals, now);
    }

    private static boolean isExcluded(Request ask, TargetInstance target, Set<String> avoided) {
        String incarnation = target.incarnation();
        return ask.excluded().contains(incarnation) || avoided.contains(incarnation);
    }

    private Grant grant(
            Request ask, TargetInstance target, Map<String, HostLoads.Count> totals, long now) {
        HostLoads.Count count = totals.getOrDefault(target.incarnation(), HostLoads.Count.NONE);
        int total = count.online() + count.batch();
        String suspendAt = "";
        if (total >= target.slots() && count.batch() > 0) {
            suspendAt = mLoads.hostOfBatch(target.incarnation());
            mLoads.suspended(suspendAt, target.incarnation());
        }
        mLoads.granted(ask.host(), target.incarnation(), false, now);
        double occupancy = (double) total / Math.max(1, target.slots());
        return new Grant(ask.requestId(), ask.host(), target, occupancy, suspendAt);
    }

    /** Returns places for what waits: online requests first, then batch items by due time. */
    public List<Grant> placeWaiting(List<TargetInstance> targets, long now) {
        dropExpired(now);
        List<Grant> grants = new ArrayList<>();
        for (Queued queued : List.copyOf(mQueue)) {
            Grant grant = place(queued.ask(), targets, now);
            if (grant != null) {
                mQueue.remove(queued);
                grants.add(grant);
            }
        }
        if (mQueue.isEmpty()) {
            placeItems(targets, now, grants);
        }
        return grants;
    }

    private void placeItems(List<TargetInstance> targets, long now, List<Grant> grants) {
        while (!mDemand.isEmpty()) {
            String host = firstDue(now);
            Grant grant = placeItem(host, targets, now);
            if (grant == null) {
                return;
            }
            grants.add(grant);
            mDemand.computeIfPresent(host, (name, demand) -> demand.less());
        }
    }

    private @Nullable Grant placeItem(String host, List<TargetInstance> targets, long now) {
        Set<String> avoided = mLoads.avoided(host, targets);
        Map<String, HostLoads.Count> totals = mLoads.totals(now);
        Map<String, Double> slowness = mSpeeds.slowness(targets);
        double slowest = hasBacklog(targets, slowness) ? Double.MAX_VALUE : MAX_ITEM_SLOWNESS;
        TargetInstance best = null;
        double leastCost = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            HostLoads.Count count = totals.getOrDefault(target.incarnation(), HostLoads.Count.NONE);
            int total = count.online() + count.batch();
            boolean room = total + RESERVED_SLOTS < target.slots();
            double slow = slowness.getOrDefault(target.incarnation(), 1.0);
            double cost = slow * (1 + (double) total / Math.max(1, target.slots()));
            boolean usable = room && slow <= slowest && !avoided.contains(target.incarnation());
            if (usable && cost < leastCost) {
                leastCost = cost;
                best = target;
            }
        }
        if (best == null) {
            return null;
        }
        mLoads.granted(host, best.incarnation(), true, now);
        return new Grant("", host, best, 0, "");
    }

    /** Tells whether more items wait than the faster targets have slots. */
    private boolean hasBacklog(List<TargetInstance> targets, Map<String, Double> slowness) {
        int waiting = mDemand.values().stream().mapToInt(Demand::items).sum();
        int slots = 0;
        for (TargetInstance target : targets) {
            boolean fast = slowness.getOrDefault(target.incarnation(), 1.0) <= MAX_ITEM_SLOWNESS;
            slots += fast ? target.slots() : 0;
        }
        return waiting > slots;
    }

    private String firstDue(long now) {
        String first = "";
        long firstDueInMs = 0;
        for (Map.Entry<String, Demand> entry : mDemand.entrySet()) {
            long dueInMs = TimeUnit.NANOSECONDS.toMillis(entry.getValue().due() - now);
            if (first.isEmpty() || DueOrder.compare(dueInMs, firstDueInMs) < 0) {
                first = entry.getKey();
                firstDueInMs = dueInMs;
            }
        }
        return first;
    }

    /** Returns the number of online requests that wait. */
    public int queueLength() {
        return mQueue.size();
    }
}
