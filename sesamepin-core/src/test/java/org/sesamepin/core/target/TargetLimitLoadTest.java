package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays the requests of many hosts at targets that name limits, on a virtual clock. */
class TargetLimitLoadTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int HOSTS = 8;
    private static final int TARGETS = 12;
    private static final int SLOTS = 8;
    private static final long RUN_MS = 400;
    private static final long STEP_MS = 5;
    private static final long PLAYED_MS = 20_000;
    private static final long WINDOW_MS = 4_000;
    private static final double MAX_OVERAGE = 1.5;
    private static final int SLACK = 5;

    private record Running(String host, String target, boolean batch, long endsAtMs) {}

    private final TargetRateLimits mLimits = new TargetRateLimits();
    private final ServiceCoordinator mCoordinator =
            new ServiceCoordinator(mLimits, new TargetPaces());
    private final List<TargetInstance> mTargets = new ArrayList<>();
    private final List<Running> mRunning = new ArrayList<>();
    private final Map<String, List<Long>> mStartsMs = new HashMap<>();
    private final Random mRandom = new Random(7);
    private int mSent;
    private int mServed;
    private int mItems;
    private int mRejected;

    private void addTargets(int limited, double limit) {
        for (int i = 0; i < TARGETS; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            TargetInstance target =
                    new TargetInstance(
                            "t" + i, 1, "s", "v1", address, "a", SLOTS, TargetState.READY, 0);
            mTargets.add(target);
            if (i < limited) {
                mLimits.observe(target.incarnation(), limit, 0);
            }
        }
    }

    private void play(double onlinePerS, int waitingItems) {
        for (long ms = 0; ms < PLAYED_MS; ms += STEP_MS) {
            long nowMs = ms;
            mRunning.removeIf(running -> running.endsAtMs() <= nowMs);
            report(waitingItems, ms);
            if (mRandom.nextDouble() < onlinePerS * STEP_MS / 1_000) {
                request(ms);
            }
            for (ServiceCoordinator.Grant grant : mCoordinator.placeWaiting(mTargets, ms * MS)) {
                start(grant, ms);
            }
        }
    }

    private void report(int waitingItems, long ms) {
        for (int h = 0; h < HOSTS; h++) {
            String host = "h" + h;
            Map<String, Integer> online = new HashMap<>();
            Map<String, Integer> batch = new HashMap<>();
            for (Running running : mRunning) {
                if (running.host().equals(host)) {
                    (running.batch() ? batch : online).merge(running.target(), 1, Integer::sum);
                }
            }
            mCoordinator.recordReport(
                    new ServiceCoordinator.HostStatus(
                            host, online, batch, Set.of(), Map.of(), waitingItems, 0, null),
                    ms * MS);
        }
    }

    private void request(long ms) {
        mSent++;
        // Hosts of unequal power get unequal shares of the requests.
        int host = (int) (mRandom.nextDouble() * mRandom.nextDouble() * HOSTS);
        ServiceCoordinator.Reply reply =
                mCoordinator.requestPlacement(
                        new ServiceCoordinator.Request(
                                "r" + mSent,
                                "h" + host,
                                0,
                                false,
                                300 * MS,
                                (ms + 5_000) * MS,
                                Set.of(),
                                null),
                        mTargets,
                        ms * MS);
        mRejected += reply.rejected() ? 1 : 0;
        if (reply.grant() != null) {
            start(reply.grant(), ms);
        }
    }

    private void start(ServiceCoordinator.Grant grant, long ms) {
        boolean batch = grant.requestId().isEmpty();
        String target = grant.target().incarnation();
        mStartsMs.computeIfAbsent(target, t -> new ArrayList<>()).add(ms);
        mRunning.add(new Running(grant.host(), target, batch, ms + RUN_MS));
        mServed += batch ? 0 : 1;
        mItems += batch ? 1 : 0;
    }

    private int mostStarts(String target) {
        int most = 0;
        List<Long> starts = mStartsMs.getOrDefault(target, List.of());
        for (long from : starts) {
            long until = from + WINDOW_MS;
            most =
                    (int)
                            Math.max(
                                    most,
                                    starts.stream().filter(s -> s >= from && s < until).count());
        }
        return most;
    }

    private void assertWithinLimits() {
        for (TargetInstance target : mTargets) {
            double limit = mLimits.perS(target.incarnation());
            double allowed = MAX_OVERAGE * limit * WINDOW_MS / 1_000 + SLACK;
            int most = mostStarts(target.incarnation());
            assertTrue(most <= allowed, target.id() + " got " + most + ", allowed " + allowed);
        }
    }

    @ParameterizedTest
    @CsvSource({"8,4,60,0", "8,4,60,50", "12,4,30,50", "12,0.5,20,50", "12,0,20,50"})
    void noTargetGetsMoreThanItNamed(int limited, double limit, double perS, int waitingItems) {
        addTargets(limited, limit);
        play(perS, waitingItems);
        assertWithinLimits();
    }

    @Test
    void requestsGoToTheOtherTargets() {
        addTargets(8, 4);
        play(60, 0);
        assertEquals(0, mRejected);
        assertTrue(mServed >= mSent - 2, mServed + " of " + mSent);
    }

    @Test
    void allTargetsLimitedServeWhatTheyTakeAndTheRestIsRejectedAtOnce() {
        addTargets(TARGETS, 2);
        play(60, 0);
        double ideal = TARGETS * 2 * PLAYED_MS / 1_000.0;
        assertTrue(mServed >= 0.9 * ideal, mServed + " of " + ideal);
        assertTrue(mServed + mRejected >= mSent - TARGETS, mRejected + " rejected");
    }

    @Test
    void batchItemsLeaveTheLimitToOnlineRequests() {
        addTargets(TARGETS, 4);
        play(30, 200);
        assertTrue(mServed >= 0.95 * mSent, mServed + " of " + mSent);
        assertTrue(mItems > 0, "no item ran");
    }

    @Test
    void theNewestAnswerCountsWhicheverHostGotIt() {
        mLimits.observe("t@1", 2, 10);
        mLimits.observe("t@1", TargetRateLimits.NO_LIMIT, 20);
        mLimits.observe("t@1", 2, 15);
        mLimits.observe("t@1", Double.NaN, 30);
        assertEquals(Double.POSITIVE_INFINITY, mLimits.perS("t@1"));
    }
}
