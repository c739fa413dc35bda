package org.sesamepin.core.target;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulation on a virtual clock: targets of two speeds, of which every other one shares its machine
 * and is slower by 2.5 in a seventh of the time, and bursts of requests of very unequal work.
 */
final class WorkModel {
    private static final String ROUTE = "route";
    private static final String HOST = "host";
    private static final double[] SPEEDS = {0.55, 0.55, 1.2, 1.2};
    private static final int TARGETS = 12;
    private static final int SLOTS = 6;
    private static final int TICK_MS = 5;
    private static final int END_MS = 60_000;
    private static final int REPORT_MS = 25;
    private static final long OBJECTIVE_MS = 300;
    private static final long TIMEOUT_MS = 5_000;
    private static final int BURST_PERIOD_MS = 5_000;
    private static final int BURST_MS = 2_000;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_MS = 400;
    private static final double MS_PER_TOKEN = 2;
    private static final double EVENT_MS = 20;
    private static final int[] TOKENS = {50, 200, 1_000};

    /** Part of a request's work after which its first event is sent. */
    private static final double FIRST_PART = 0.05;

    /**
     * What the model varies.
     *
     * @param tokensDeclared whether requests declare their tokens
     * @param loadNamed whether targets name how long work takes there now
     * @param wrongLoad whether what they name is at random
     * @param burst requests per second in bursts, relative to what the targets can run
     */
    record Settings(boolean tokensDeclared, boolean loadNamed, boolean wrongLoad, double burst) {}

    /**
     * Result of a simulation.
     *
     * @param requests number of requests
     * @param inTime requests whose first event came within the objective
     * @param largest the largest requests, a tenth of all
     * @param largestInTime those of them whose first event came within the objective
     * @param meanEndMs mean time to the end of a served request, milliseconds
     */
    record Outcome(int requests, int inTime, int largest, int largestInTime, double meanEndMs) {
        double inTimeShare() {
            return (double) inTime / requests;
        }

        double largestInTimeShare() {
            return (double) largestInTime / largest;
        }
    }

    private static final class Work {
        private final String mId;
        private final int mTokens;
        private final double mWorkMs;
        private final int mCreatedAtMs;
        private double mDoneMs;
        private int mSentAtMs;
        private boolean mHasEvent;

        Work(String id, int tokens, double workMs, int createdAtMs) {
            mId = id;
            mTokens = tokens;
            mWorkMs = workMs;
            mCreatedAtMs = createdAtMs;
        }

        boolean isLargest() {
            return mTokens == TOKENS[TOKENS.length - 1];
        }
    }

    private static final class Target {
        private final TargetInstance mInstance;
        private final double mSpeed;
        private final boolean mIsShared;
        private final List<Work> mRunning = new ArrayList<>();
        private final Deque<Work> mQueue = new ArrayDeque<>();
        private boolean mIsSlow;
        private double mEventMs;

        Target(TargetInstance instance, double speed, boolean shared) {
            mInstance = instance;
            mSpeed = speed;
            mIsShared = shared;
            mEventMs = EVENT_MS / speed;
        }

        double factor() {
            return mIsSlow ? SLOW_FACTOR : 1;
        }
    }

    private final Settings mSettings;
    private final Random mRandom;
    private final Random mLoadRandom;
    private final TargetPaces mPaces = new TargetPaces();
    private final ServiceCoordinator mCoordinator =
            new ServiceCoordinator(new TargetRateLimits(), mPaces);
    private final List<Target> mTargets = new ArrayList<>();
    private final List<TargetInstance> mInstances = new ArrayList<>();
    private final Map<String, Work> mWaiting = new HashMap<>();
    private double mCapacityPerS;
    private int mNowMs;
    private long mLastNumber;
    private long mSequence;
    private boolean mReportDue;
    private int mRequests;
    private int mInTime;
    private int mLargest;
    private int mLargestInTime;
    private double mEndMsSum;
    private int mEnded;

    /** Creates a model. */
    WorkModel(long seed, Settings settings) {
        mRandom = new Random(seed);
        mLoadRandom = new Random(seed + 1);
        mSettings = settings;
        double speeds = 0;
        for (int i = 0; i < TARGETS; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            TargetInstance instance =
                    new TargetInstance(
                            "t" + i, 1, "s", "v1", address, "a", SLOTS, TargetState.READY, 0);
            double speed = SPEEDS[i % SPEEDS.length];
            mTargets.add(new Target(instance, speed, i % 2 == 1));
            mInstances.add(instance);
            speeds += speed;
        }
        double meanTokens = 0.6 * TOKENS[0] + 0.3 * TOKENS[1] + 0.1 * TOKENS[2];
        mCapacityPerS = speeds * SLOTS * 1_000 / (meanTokens * MS_PER_TOKEN);
    }

    /** Simulates a minute of arrivals. */
    Outcome run() {
        for (mNowMs = 0; mNowMs < END_MS; mNowMs += TICK_MS) {
            arrive();
            mTargets.forEach(this::advance);
            if (mReportDue || mNowMs % REPORT_MS == 0) {
                mReportDue = false;
                report();
            }
        }
        return new Outcome(mRequests, mInTime, mLargest, mLargestInTime, mEndMsSum / mEnded);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private void arrive() {
        boolean isBurst = mNowMs % BURST_PERIOD_MS >= BURST_PERIOD_MS - BURST_MS;
        double perTick = mCapacityPerS * TICK_MS / 1_000 * (isBurst ? mSettings.burst() : 0.4);
        // A Poisson number of arrivals, by the gaps between them.
        double at = -Math.log(1 - mRandom.nextDouble());
        while (at < perTick) {
            ask(newWork());
            at -= Math.log(1 - mRandom.nextDouble());
        }
    }

    private Work newWork() {
        double kind = mRandom.nextDouble();
        int tokens = kind < 0.6 ? TOKENS[0] : kind < 0.9 ? TOKENS[1] : TOKENS[2];
        double workMs = tokens * MS_PER_TOKEN * Math.exp(0.3 * mRandom.nextGaussian());
        Work work = new Work("r" + mRequests++, tokens, workMs, mNowMs);
        mLargest += work.isLargest() ? 1 : 0;
        return work;
    }

    private RequestSize sizeOf(Work work) {
        return mSettings.tokensDeclared() ? new RequestSize(100, work.mTokens) : RequestSize.NONE;
    }

    private void ask(Work work) {
        ServiceCoordinator.Reply reply =
                mCoordinator.requestPlacement(
                        new ServiceCoordinator.Request(
                                work.mId,
                                HOST,
                                0,
                                false,
                                nanos(OBJECTIVE_MS),
                                nanos(work.mCreatedAtMs + TIMEOUT_MS),
                                Set.of(),
                                null,
                                ROUTE,
                                sizeOf(work)),
                        mInstances,
                        nanos(mNowMs));
        ServiceCoordinator.Grant grant = reply.grant();
        if (grant != null) {
            send(grant, work);
        } else if (!reply.rejected()) {
            mWaiting.put(work.mId, work);
        }
    }

    private void send(ServiceCoordinator.Grant grant, Work work) {
        mLastNumber = grant.number();
        work.mSentAtMs = mNowMs;
        mTargets.get(mInstances.indexOf(grant.target())).mQueue.add(work);
    }

    private void advance(Target target) {
        if (target.mIsShared) {
            double changePerMs = target.mIsSlow ? 1 / SLOW_MS : 1 / (6 * SLOW_MS);
            target.mIsSlow ^= mRandom.nextDouble() < TICK_MS * changePerMs;
        }
        while (target.mRunning.size() < SLOTS && !target.mQueue.isEmpty()) {
            target.mRunning.add(target.mQueue.remove());
        }
        for (Iterator<Work> works = target.mRunning.iterator(); works.hasNext(); ) {
            Work work = works.next();
            work.mDoneMs += TICK_MS * target.mSpeed / target.factor();
            if (!work.mHasEvent && work.mDoneMs >= FIRST_PART * work.mWorkMs) {
                work.mHasEvent = true;
                recordFirstEvent(target, work);
            }
            if (work.mDoneMs >= work.mWorkMs) {
                works.remove();
                recordEnd(target, work);
            }
        }
    }

    private void recordFirstEvent(Target target, Work work) {
        boolean inTime = mNowMs - work.mCreatedAtMs <= OBJECTIVE_MS;
        mInTime += inTime ? 1 : 0;
        mLargestInTime += inTime && work.isLargest() ? 1 : 0;
        if (mSettings.loadNamed()) {
            double factor =
                    mSettings.wrongLoad() ? 0.4 + 3 * mLoadRandom.nextDouble() : target.factor();
            mPaces.observe(target.mInstance.incarnation(), factor, nanos(mNowMs));
        }
    }

    private void recordEnd(Target target, Work work) {
        mReportDue = true;
        mEnded++;
        mEndMsSum += mNowMs - work.mCreatedAtMs;
        double elapsedMs = mNowMs - work.mSentAtMs;
        target.mEventMs += 0.2 * (EVENT_MS * target.factor() / target.mSpeed - target.mEventMs);
        mCoordinator.recordServiceTime(nanos((long) elapsedMs));
        String incarnation = target.mInstance.incarnation();
        mCoordinator.recordEnded(ROUTE, sizeOf(work), incarnation, elapsedMs, mInstances);
    }

    private void report() {
        Map<String, Integer> online = new HashMap<>();
        Map<String, Double> eventMs = new HashMap<>();
        for (Target target : mTargets) {
            String incarnation = target.mInstance.incarnation();
            online.put(incarnation, target.mRunning.size() + target.mQueue.size());
            eventMs.put(incarnation, target.mEventMs);
        }
        ReportStamp stamp =
                new ReportStamp(1, ++mSequence, new GrantReceipt(mLastNumber, Set.of()));
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        HOST, online, Map.of(), Set.of(), eventMs, 0, 0, stamp),
                nanos(mNowMs));
        for (ServiceCoordinator.Grant grant :
                mCoordinator.placeWaiting(mInstances, nanos(mNowMs))) {
            Work work = mWaiting.remove(grant.requestId());
            if (work != null) {
                send(grant, work);
            }
        }
    }
}
