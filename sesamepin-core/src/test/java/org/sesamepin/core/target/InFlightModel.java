package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Simulation on a virtual clock: hosts that ask a coordinator for placements, run the requests and
 * report them, over a network that delays, reorders and loses messages. At each arrival it compares
 * what the coordinator counts with what runs.
 */
final class InFlightModel {
    private static final String SERVICE = "s";
    private static final String TARGET = "t0@1";
    private static final long END_MS = 20_000;
    private static final long REPORT_INTERVAL_MS = 500;
    private static final long REPORT_DELAY_MS = 12;
    private static final long ANSWER_TIMEOUT_MS = 150;
    private static final int MAX_REQUEST_MS = 500;

    /**
     * What the model varies.
     *
     * @param hosts number of hosts
     * @param requestMs how long each request takes, milliseconds
     * @param perS requests per second of all hosts
     * @param maxDelayMs the longest delay of a message, milliseconds
     * @param lostReports share of the reports that are lost
     * @param lostAnswers share of the answers that are lost
     * @param coordinatorChangeMs time after which another coordinator takes over, milliseconds
     * @param namesGrants whether reports name the grants that they contain
     */
    record Settings(
            int hosts,
            int requestMs,
            double perS,
            int maxDelayMs,
            double lostReports,
            double lostAnswers,
            long coordinatorChangeMs,
            boolean namesGrants) {}

    /**
     * Result of a simulation.
     *
     * @param checks number of comparisons
     * @param missed comparisons in which a request that ran was not counted
     * @param late comparisons in which a request was counted although the first report made after
     *     its end had arrived
     * @param running mean number of requests that ran
     * @param counted mean number of requests that were counted
     * @param unused grants that arrived after their number was given up
     */
    record Outcome(int checks, int missed, int late, double running, double counted, int unused) {}

    /** A granted request. */
    private static final class Run {
        private final long mGrantedAtMs;
        private boolean mIsLost;
        private boolean mRuns;
        private long mEndedAtMs = Long.MAX_VALUE;
        private long mEndedAtStep = Long.MAX_VALUE;
        private boolean mIsFree;

        Run(long grantedAtMs) {
            mGrantedAtMs = grantedAtMs;
        }
    }

    private static final class Host {
        private final String mName;
        private final ReceivedGrants mReceived = new ReceivedGrants();
        private final List<Run> mGranted = new ArrayList<>();
        private long mSequence;
        private long mNewestArrived;
        private int mRunning;
        private boolean mReportScheduled;
        private boolean mLastReportLost;
        private boolean mReportedToCoordinator = true;

        Host(String name) {
            mName = name;
        }
    }

    private record Event(long timeMs, long order, Runnable action) {}

    private final Settings mSettings;
    private final Random mRandom;
    private final List<Host> mHosts = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeMs).thenComparing(Event::order));
    private InFlightTable mTable = new InFlightTable();
    private long mEpoch = 1;
    private long mChangedAtMs;
    private long mNowMs;
    private long mStep;
    private long mNextOrder;
    private int mChecks;
    private int mMissed;
    private int mLate;
    private int mUnused;
    private double mRunningSum;
    private double mCountedSum;

    /** Creates a model. */
    InFlightModel(long seed, Settings settings) {
        mSettings = settings;
        mRandom = new Random(seed);
        for (int i = 0; i < settings.hosts(); i++) {
            mHosts.add(new Host("h" + i));
        }
    }

    /** Simulates 20 s of arrivals. */
    Outcome run() {
        for (Host host : mHosts) {
            schedule(mRandom.nextInt((int) REPORT_INTERVAL_MS), () -> reportPeriodically(host));
        }
        schedule(0, this::arrive);
        schedule(mSettings.coordinatorChangeMs(), this::changeCoordinator);
        while (!mEvents.isEmpty()) {
            Event event = mEvents.remove();
            mNowMs = event.timeMs();
            mStep++;
            event.action().run();
        }
        return new Outcome(
                mChecks, mMissed, mLate, mRunningSum / mChecks, mCountedSum / mChecks, mUnused);
    }

    private void schedule(long timeMs, Runnable action) {
        if (timeMs <= END_MS) {
            mEvents.add(new Event(timeMs, mNextOrder++, action));
        }
    }

    private long delayMs() {
        return 1 + mRandom.nextInt(mSettings.maxDelayMs());
    }

    private long now() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMs);
    }

    private void arrive() {
        double gapMs = -Math.log(1 - mRandom.nextDouble()) * 1_000 / mSettings.perS();
        schedule(mNowMs + Math.round(gapMs), this::arrive);
        check();
        Host host = mHosts.get(mRandom.nextInt(mHosts.size()));
        Run run = new Run(mNowMs);
        host.mGranted.add(run);
        long number = mTable.recordGrant(host.mName, TARGET, false, now());
        long epoch = mEpoch;
        long delayMs = delayMs();
        run.mIsLost = mRandom.nextDouble() < mSettings.lostAnswers() || delayMs > ANSWER_TIMEOUT_MS;
        if (!run.mIsLost) {
            schedule(mNowMs + delayMs, () -> receive(host, run, epoch, number));
        }
    }

    private void receive(Host host, Run run, long epoch, long number) {
        ReceivedGrants.Source source = new ReceivedGrants.Source(SERVICE, epoch);
        if (!host.mReceived.record(source, number, now())) {
            run.mIsLost = true;
            mUnused++;
            return;
        }
        run.mRuns = true;
        host.mRunning++;
        schedule(mNowMs + mSettings.requestMs(), () -> end(host, run));
    }

    private void end(Host host, Run run) {
        run.mRuns = false;
        run.mEndedAtMs = mNowMs;
        run.mEndedAtStep = mStep;
        host.mRunning--;
        if (!host.mReportScheduled) {
            host.mReportScheduled = true;
            schedule(mNowMs + REPORT_DELAY_MS, () -> reportUrgently(host));
        }
    }

    private void reportUrgently(Host host) {
        host.mReportScheduled = false;
        report(host);
    }

    private void reportPeriodically(Host host) {
        schedule(mNowMs + REPORT_INTERVAL_MS, () -> reportPeriodically(host));
        report(host);
    }

    private void report(Host host) {
        int running = host.mRunning;
        long sequence = ++host.mSequence;
        long madeAtMs = mNowMs;
        long madeAtStep = mStep;
        Map<ReceivedGrants.Source, GrantReceipt> receipts = host.mReceived.receipts(now());
        // A host all of whose reports are lost counts as ended, so two in a row are not lost.
        host.mLastReportLost =
                !host.mLastReportLost && mRandom.nextDouble() < mSettings.lostReports();
        if (!host.mLastReportLost) {
            schedule(
                    mNowMs + delayMs(),
                    () -> {
                        receiveReport(host, running, sequence, receipts);
                        freeEnded(host, madeAtMs, madeAtStep, sequence > host.mNewestArrived);
                        host.mNewestArrived = Math.max(host.mNewestArrived, sequence);
                        check();
                    });
        }
    }

    private void receiveReport(
            Host host,
            int running,
            long sequence,
            Map<ReceivedGrants.Source, GrantReceipt> receipts) {
        ReceivedGrants.Source source = new ReceivedGrants.Source(SERVICE, mEpoch);
        GrantReceipt receipt = receipts.getOrDefault(source, GrantReceipt.NONE);
        @Nullable ReportStamp stamp =
                mSettings.namesGrants() ? new ReportStamp(1, sequence, receipt) : null;
        Map<String, InFlightTable.Count> counts = new HashMap<>();
        counts.put(TARGET, new InFlightTable.Count(running, 0));
        mTable.recordReport(host.mName, counts, Set.of(), stamp, now());
    }

    /** Notes which requests a report that has arrived shows as ended. */
    private void freeEnded(Host host, long madeAtMs, long madeAtStep, boolean isNewest) {
        // Grants of the former coordinator are on the way for as long as a message takes.
        host.mReportedToCoordinator |= madeAtMs >= mChangedAtMs + mSettings.maxDelayMs();
        long lostBeforeMs = mNowMs - TimeUnit.NANOSECONDS.toMillis(InFlightTable.LOST_GRANT_NANOS);
        for (Run run : host.mGranted) {
            boolean isLostForLong = isNewest && run.mIsLost && run.mGrantedAtMs <= lostBeforeMs;
            run.mIsFree |= run.mEndedAtStep < madeAtStep || isLostForLong;
        }
        host.mGranted.removeIf(run -> run.mIsFree && run.mGrantedAtMs < mNowMs - 5_000);
    }

    private void changeCoordinator() {
        mTable = new InFlightTable();
        mEpoch++;
        mChangedAtMs = mNowMs;
        for (Host host : mHosts) {
            host.mReportedToCoordinator = false;
            host.mNewestArrived = 0;
            // The new coordinator may get a report that the former one knew to be old.
            host.mGranted.forEach(run -> run.mIsFree &= mNowMs - run.mEndedAtMs > MAX_REQUEST_MS);
        }
    }

    private void check() {
        int running = 0;
        int mayCount = 0;
        for (Host host : mHosts) {
            for (Run run : host.mGranted) {
                running += run.mRuns && host.mReportedToCoordinator ? 1 : 0;
                mayCount += run.mIsFree ? 0 : 1;
            }
        }
        int counted =
                mTable.totalsByTarget(now())
                        .getOrDefault(TARGET, InFlightTable.Count.NONE)
                        .online();
        mChecks++;
        mMissed += counted < running ? 1 : 0;
        mLate += counted > mayCount ? 1 : 0;
        mRunningSum += running;
        mCountedSum += counted;
    }
}
