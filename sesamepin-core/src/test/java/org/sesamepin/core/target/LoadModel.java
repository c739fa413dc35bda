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

/**
 * Targets of three speeds that run a few streams at once and queue the rest, one host that sends
 * them online requests in pulses and the items of batch jobs, and a virtual clock.
 */
final class LoadModel {
    private static final String HOST = "host";
    private static final double[] EVENT_MS = {
        16.5, 16.5, 16.5, 16.5, 16.5, 28, 28, 28, 28, 45, 45, 45, 45
    };
    private static final int SLOTS = 8;
    private static final long END_MS = 60_000;
    private static final long PERIOD_MS = 5_200;
    private static final long QUIET_MS = 3_000;
    private static final double PULSE_PER_S = 120;
    private static final double QUIET_PER_S = 28;
    private static final int ONLINE_EVENTS = 27;
    private static final int ITEM_EVENTS = 188;
    private static final int JOB_ITEMS = 10;
    private static final long JOB_EVERY_MS = 1_400;
    private static final long PREFILL_MS = 25;
    private static final long TIMEOUT_MS = 5_000;
    private static final long PUMP_MS = 25;

    /** What callers got. */
    record Outcome(List<Long> firstMs, int refused, List<Long> itemMs, int items) {
        double onTimeShare(long latencyMs) {
            long onTime = firstMs.stream().filter(ms -> ms <= latencyMs).count();
            return (double) onTime / (firstMs.size() + refused);
        }

        int itemsWithin(long dueMs) {
            return (int) itemMs.stream().filter(ms -> ms <= dueMs).count();
        }

        double meanItemMs() {
            return itemMs.stream().mapToLong(ms -> ms).average().orElse(0);
        }

        @Override
        public String toString() {
            return "first pieces "
                    + firstMs.size()
                    + ", refused "
                    + refused
                    + ", items "
                    + itemMs.size()
                    + " of "
                    + items
                    + " in "
                    + Math.round(meanItemMs())
                    + " ms on average";
        }
    }

    /** A request or an item, and its run. */
    private static final class Work {
        private final String mId;
        private final boolean mBatch;
        private final long mCreatedAt;
        private int mEventsLeft;
        private long mStartedAt;
        private int mRun;

        Work(String id, boolean batch, long createdAt, int events) {
            mId = id;
            mBatch = batch;
            mCreatedAt = createdAt;
            mEventsLeft = events;
        }
    }

    private static final class Target {
        private final TargetInstance mInstance;
        private final double mEventMs;
        private final List<Work> mRunning = new ArrayList<>();
        private final Deque<Work> mQueue = new ArrayDeque<>();

        Target(TargetInstance instance, double eventMs) {
            mInstance = instance;
            mEventMs = eventMs;
        }

        int count(boolean batch) {
            long running = mRunning.stream().filter(work -> work.mBatch == batch).count();
            return (int) (running + mQueue.stream().filter(work -> work.mBatch == batch).count());
        }
    }

    private record Event(long at, long order, Runnable action) {}

    private final Random mRandom;
    private final boolean mSpeedsKnown;
    private final ServiceCoordinator mCoordinator = new ServiceCoordinator();
    private final List<Target> mTargets = new ArrayList<>();
    private final Map<String, Work> mWaiting = new HashMap<>();
    private final Deque<Work> mItems = new ArrayDeque<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));
    private final List<Long> mFirstMs = new ArrayList<>();
    private final List<Long> mItemMs = new ArrayList<>();
    private int mRefused;
    private int mCreatedItems;
    private long mNow;
    private long mOrder;

    /** Creates a model whose coordinator hears of the targets' speeds, or does not. */
    LoadModel(long seed, boolean speedsKnown) {
        mRandom = new Random(seed);
        mSpeedsKnown = speedsKnown;
        for (int i = 0; i < EVENT_MS.length; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            TargetInstance instance =
                    new TargetInstance("t" + i, 1, "s", address, "a", SLOTS, TargetState.READY, 0);
            mTargets.add(new Target(instance, EVENT_MS[i]));
        }
    }

    /** Plays a minute, and on until nothing runs. */
    Outcome play() {
        at(0, this::arrive);
        at(0, this::submit);
        at(0, this::pump);
        while (!mEvents.isEmpty()) {
            Event event = mEvents.remove();
            mNow = event.at();
            event.action().run();
        }
        return new Outcome(mFirstMs, mRefused, mItemMs, mCreatedItems);
    }

    private void at(long time, Runnable action) {
        mEvents.add(new Event(time, mOrder++, action));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private List<TargetInstance> instances() {
        return mTargets.stream().map(target -> target.mInstance).toList();
    }

    private void arrive() {
        boolean pulse = mNow % PERIOD_MS >= QUIET_MS;
        double perMs = (pulse ? PULSE_PER_S : QUIET_PER_S) / 1_000;
        long next = mNow + 1 + (long) (-Math.log(1 - mRandom.nextDouble()) / perMs);
        if (next < END_MS) {
            at(next, this::arrive);
        }
        ask(new Work("r" + mOrder, false, mNow, ONLINE_EVENTS));
    }

    private void ask(Work work) {
        ServiceCoordinator.Request ask =
                new ServiceCoordinator.Request(
                        work.mId,
                        HOST,
                        0,
                        false,
                        nanos(300),
                        nanos(work.mCreatedAt + TIMEOUT_MS),
                        Set.of());
        ServiceCoordinator.Reply answer =
                mCoordinator.requestPlacement(ask, instances(), nanos(mNow));
        ServiceCoordinator.Grant grant = answer.grant();
        if (grant != null) {
            granted(grant, work);
        } else if (answer.rejected()) {
            mRefused++;
        } else {
            mWaiting.put(work.mId, work);
        }
    }

    private void submit() {
        if (mNow + JOB_EVERY_MS < END_MS) {
            at(mNow + JOB_EVERY_MS, this::submit);
        }
        for (int i = 0; i < JOB_ITEMS; i++) {
            mItems.add(new Work("i" + mCreatedItems++, true, mNow, ITEM_EVENTS));
        }
        report();
    }

    private void pump() {
        boolean busy = mNow < END_MS || !mItems.isEmpty() || !mWaiting.isEmpty();
        if (busy) {
            at(mNow + PUMP_MS, this::pump);
        }
        report();
    }

    /** Tells the coordinator what is in flight and takes in its grants. */
    private void report() {
        Map<String, Integer> online = new HashMap<>();
        Map<String, Integer> batch = new HashMap<>();
        Map<String, Double> speeds = new HashMap<>();
        for (Target target : mTargets) {
            String name = target.mInstance.incarnation();
            online.put(name, target.count(false));
            batch.put(name, target.count(true));
            if (mSpeedsKnown) {
                speeds.put(name, target.mEventMs);
            }
        }
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        HOST, online, batch, Set.of(), speeds, mItems.size(), 0),
                nanos(mNow));
        for (ServiceCoordinator.Grant grant : mCoordinator.placeWaiting(instances(), nanos(mNow))) {
            Work work =
                    grant.requestId().isEmpty()
                            ? mItems.poll()
                            : mWaiting.remove(grant.requestId());
            if (work != null) {
                granted(grant, work);
            }
        }
    }

    private void granted(ServiceCoordinator.Grant grant, Work work) {
        Target target = mTargets.get(instances().indexOf(grant.target()));
        if (!grant.suspendingHost().isEmpty()) {
            suspendItem(target);
        }
        target.mQueue.add(work);
        startNext(target);
    }

    private void suspendItem(Target target) {
        Work item = target.mRunning.stream().filter(work -> work.mBatch).findFirst().orElse(null);
        if (item == null) {
            return;
        }
        target.mRunning.remove(item);
        item.mRun++;
        long streamed = Math.max(0, mNow - item.mStartedAt - PREFILL_MS);
        item.mEventsLeft -= (int) (streamed / target.mEventMs);
        mItems.addFirst(item);
    }

    private void startNext(Target target) {
        while (target.mRunning.size() < SLOTS && !target.mQueue.isEmpty()) {
            @Nullable Work work = target.mQueue.poll();
            target.mRunning.add(work);
            work.mStartedAt = mNow;
            int run = work.mRun;
            long end = mNow + PREFILL_MS + Math.round(work.mEventsLeft * target.mEventMs);
            if (!work.mBatch) {
                mFirstMs.add(mNow + PREFILL_MS - work.mCreatedAt);
            }
            at(end, () -> ended(target, work, run));
        }
    }

    private void ended(Target target, Work work, int run) {
        if (work.mRun != run || !target.mRunning.remove(work)) {
            return;
        }
        if (work.mBatch) {
            mItemMs.add(mNow - work.mCreatedAt);
        }
        startNext(target);
        report();
    }
}
