package org.sesamepin.core.target;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.job.DueOrder;
import org.sesamepin.core.job.ItemRunTimes;

/**
 * Simulation on a virtual clock: targets of three speeds that run a few streams concurrently and
 * queue the rest, and one host that sends them bursts of online requests and the items of batch
 * jobs.
 */
final class LoadModel {
    private static final String HOST = "host";
    private static final double[] EVENT_INTERVAL_MS = {
        16.5, 16.5, 16.5, 16.5, 16.5, 28, 28, 28, 28, 45, 45, 45, 45
    };
    private static final int SLOTS = 8;
    private static final long ARRIVALS_END_MS = 60_000;
    private static final long BURST_PERIOD_MS = 5_200;
    private static final long BASELINE_PHASE_MS = 3_000;
    private static final double BURST_REQUESTS_PER_S = 120;
    private static final double BASELINE_REQUESTS_PER_S = 28;
    private static final int EVENTS_PER_REQUEST = 27;
    private static final int EVENTS_PER_ITEM = 188;
    private static final int ITEMS_PER_JOB = 10;
    private static final String ROUTE = "batch";
    private static final long DUE_MS = 18_000;
    private static final long PREFILL_MS = 25;
    private static final long TIMEOUT_MS = 5_000;
    private static final long REPORT_INTERVAL_MS = 25;

    /**
     * What the model varies.
     *
     * @param speedsKnown whether the host reports the speeds of the targets to the coordinator
     * @param runTimesKnown whether the host learns the run times of items
     * @param jobIntervalMs time between two submissions of a batch job, milliseconds
     */
    record Settings(boolean speedsKnown, boolean runTimesKnown, long jobIntervalMs) {}

    /** Result of a simulation: times to the first event and to the end of an item, milliseconds. */
    record Outcome(List<Long> firstEventMs, int rejected, List<Long> itemMs, int items) {
        double onTimeShare(long latencyMs) {
            long onTime = firstEventMs.stream().filter(ms -> ms <= latencyMs).count();
            return (double) onTime / (firstEventMs.size() + rejected);
        }

        int itemsWithin(long dueMs) {
            return (int) itemMs.stream().filter(ms -> ms <= dueMs).count();
        }

        double meanItemMs() {
            return itemMs.stream().mapToLong(ms -> ms).average().orElse(0);
        }

        @Override
        public String toString() {
            return "first events "
                    + firstEventMs.size()
                    + ", rejected "
                    + rejected
                    + ", items "
                    + itemMs.size()
                    + " of "
                    + items
                    + " in "
                    + Math.round(meanItemMs())
                    + " ms on average";
        }
    }

    /** An online request or a batch item, and its current run. */
    private static final class Work {
        private final String mId;
        private final boolean mIsBatch;
        private final long mCreatedAtMs;
        private int mRemainingEvents;
        private long mFirstStartedAtMs = -1;
        private long mStartedAtMs;
        private int mRun;

        Work(String id, boolean batch, long createdAt, int events) {
            mId = id;
            mIsBatch = batch;
            mCreatedAtMs = createdAt;
            mRemainingEvents = events;
        }
    }

    private static final class Target {
        private final TargetInstance mInstance;
        private final double mEventIntervalMs;
        private final List<Work> mRunning = new ArrayList<>();
        private final Deque<Work> mQueue = new ArrayDeque<>();

        Target(TargetInstance instance, double eventIntervalMs) {
            mInstance = instance;
            mEventIntervalMs = eventIntervalMs;
        }

        int count(boolean batch) {
            long running = mRunning.stream().filter(work -> work.mIsBatch == batch).count();
            return (int) (running + mQueue.stream().filter(work -> work.mIsBatch == batch).count());
        }
    }

    private record Event(long timeMs, long sequence, Runnable action) {}

    private final Random mRandom;
    private final Settings mSettings;
    private final ItemRunTimes mRunTimes = new ItemRunTimes();
    private final ServiceCoordinator mCoordinator =
            new ServiceCoordinator(new TargetRateLimits(), new TargetPaces());
    private final List<Target> mTargets = new ArrayList<>();
    private final Map<String, Work> mWaitingRequests = new HashMap<>();
    private final List<Work> mWaitingItems = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeMs).thenComparing(Event::sequence));
    private final List<Long> mFirstEventMs = new ArrayList<>();
    private final List<Long> mItemMs = new ArrayList<>();
    private int mRejected;
    private int mItemCount;
    private long mNowMs;
    private long mNextSequence;

    /** Creates a model. */
    LoadModel(long seed, Settings settings) {
        mRandom = new Random(seed);
        mSettings = settings;
        for (int i = 0; i < EVENT_INTERVAL_MS.length; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            TargetInstance instance =
                    new TargetInstance(
                            "t" + i, 1, "s", "v1", address, "a", SLOTS, TargetState.READY, 0);
            mTargets.add(new Target(instance, EVENT_INTERVAL_MS[i]));
        }
    }

    /** Simulates a minute of arrivals and continues until nothing is running. */
    Outcome run() {
        schedule(0, this::arriveRequest);
        schedule(0, this::submitJob);
        schedule(0, this::reportPeriodically);
        while (!mEvents.isEmpty()) {
            Event event = mEvents.remove();
            mNowMs = event.timeMs();
            event.action().run();
        }
        return new Outcome(mFirstEventMs, mRejected, mItemMs, mItemCount);
    }

    private void schedule(long timeMs, Runnable action) {
        mEvents.add(new Event(timeMs, mNextSequence++, action));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private List<TargetInstance> instances() {
        return mTargets.stream().map(target -> target.mInstance).toList();
    }

    private void arriveRequest() {
        boolean isBurst = mNowMs % BURST_PERIOD_MS >= BASELINE_PHASE_MS;
        double perMs = (isBurst ? BURST_REQUESTS_PER_S : BASELINE_REQUESTS_PER_S) / 1_000;
        long nextMs = mNowMs + 1 + (long) (-Math.log(1 - mRandom.nextDouble()) / perMs);
        if (nextMs < ARRIVALS_END_MS) {
            schedule(nextMs, this::arriveRequest);
        }
        requestPlacement(new Work("r" + mNextSequence, false, mNowMs, EVENTS_PER_REQUEST));
    }

    private void requestPlacement(Work work) {
        ServiceCoordinator.Request request =
                new ServiceCoordinator.Request(
                        work.mId,
                        HOST,
                        0,
                        false,
                        nanos(300),
                        nanos(work.mCreatedAtMs + TIMEOUT_MS),
                        Set.of(),
                        null);
        ServiceCoordinator.Reply reply =
                mCoordinator.requestPlacement(request, instances(), nanos(mNowMs));
        ServiceCoordinator.Grant grant = reply.grant();
        if (grant != null) {
            sendToTarget(grant, work);
        } else if (reply.rejected()) {
            mRejected++;
        } else {
            mWaitingRequests.put(work.mId, work);
        }
    }

    private void submitJob() {
        if (mNowMs + mSettings.jobIntervalMs() < ARRIVALS_END_MS) {
            schedule(mNowMs + mSettings.jobIntervalMs(), this::submitJob);
        }
        for (int i = 0; i < ITEMS_PER_JOB; i++) {
            mWaitingItems.add(new Work("i" + mItemCount++, true, mNowMs, EVENTS_PER_ITEM));
        }
        report();
    }

    private void reportPeriodically() {
        boolean hasWork =
                mNowMs < ARRIVALS_END_MS || !mWaitingItems.isEmpty() || !mWaitingRequests.isEmpty();
        if (hasWork) {
            schedule(mNowMs + REPORT_INTERVAL_MS, this::reportPeriodically);
        }
        report();
    }

    /** Reports the requests in flight to the coordinator and carries out its grants. */
    private void report() {
        Map<String, Integer> online = new HashMap<>();
        Map<String, Integer> batch = new HashMap<>();
        Map<String, Double> eventIntervalsMs = new HashMap<>();
        for (Target target : mTargets) {
            String incarnation = target.mInstance.incarnation();
            online.put(incarnation, target.count(false));
            batch.put(incarnation, target.count(true));
            if (mSettings.speedsKnown()) {
                eventIntervalsMs.put(incarnation, target.mEventIntervalMs);
            }
        }
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        HOST,
                        online,
                        batch,
                        Set.of(),
                        eventIntervalsMs,
                        mWaitingItems.size(),
                        0,
                        null),
                nanos(mNowMs));
        for (ServiceCoordinator.Grant grant :
                mCoordinator.placeWaiting(instances(), nanos(mNowMs))) {
            Work work =
                    grant.requestId().isEmpty()
                            ? takeNextItem()
                            : mWaitingRequests.remove(grant.requestId());
            if (work != null) {
                sendToTarget(grant, work);
            }
        }
    }

    private @Nullable Work takeNextItem() {
        Work next =
                mWaitingItems.stream()
                        .min((item, other) -> DueOrder.compare(slackMs(item), slackMs(other)))
                        .orElse(null);
        mWaitingItems.remove(next);
        return next;
    }

    private long slackMs(Work item) {
        long lastEventId = EVENTS_PER_ITEM - item.mRemainingEvents;
        long dueInMs = item.mCreatedAtMs + DUE_MS - mNowMs;
        return dueInMs - mRunTimes.remainingMs(ROUTE, lastEventId);
    }

    private void sendToTarget(ServiceCoordinator.Grant grant, Work work) {
        Target target = mTargets.get(instances().indexOf(grant.target()));
        if (!grant.suspendingHost().isEmpty()) {
            suspendItem(target);
        }
        target.mQueue.add(work);
        startNext(target);
    }

    private void suspendItem(Target target) {
        Work item =
                target.mRunning.stream()
                        .filter(work -> work.mIsBatch)
                        .max((work, other) -> DueOrder.compare(slackMs(work), slackMs(other)))
                        .orElse(null);
        if (item == null) {
            return;
        }
        target.mRunning.remove(item);
        item.mRun++;
        long streamedMs = Math.max(0, mNowMs - item.mStartedAtMs - PREFILL_MS);
        item.mRemainingEvents -= (int) (streamedMs / target.mEventIntervalMs);
        mWaitingItems.add(item);
    }

    private void startNext(Target target) {
        while (target.mRunning.size() < SLOTS && !target.mQueue.isEmpty()) {
            @Nullable Work work = target.mQueue.poll();
            target.mRunning.add(work);
            work.mStartedAtMs = mNowMs;
            work.mFirstStartedAtMs = work.mFirstStartedAtMs < 0 ? mNowMs : work.mFirstStartedAtMs;
            int run = work.mRun;
            long endMs =
                    mNowMs
                            + PREFILL_MS
                            + Math.round(work.mRemainingEvents * target.mEventIntervalMs);
            if (!work.mIsBatch) {
                mFirstEventMs.add(mNowMs + PREFILL_MS - work.mCreatedAtMs);
            }
            schedule(endMs, () -> onEnd(target, work, run));
        }
    }

    private void onEnd(Target target, Work work, int run) {
        if (work.mRun != run || !target.mRunning.remove(work)) {
            return;
        }
        if (work.mIsBatch) {
            mItemMs.add(mNowMs - work.mCreatedAtMs);
            recordRunTime(work);
        }
        startNext(target);
        report();
    }

    private void recordRunTime(Work item) {
        if (mSettings.runTimesKnown()) {
            mRunTimes.recordCompletion(ROUTE, EVENTS_PER_ITEM, mNowMs - item.mFirstStartedAtMs);
        }
    }
}
