package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Plays hosts that hold back one item or request each for a part in quarantine, on a virtual clock.
 * Until the last fault, hosts end and start again, claims are lost in the store or unknown, probes
 * find no slot, are preempted or lose their connection, and, where wanted, targets end for another
 * cause.
 */
final class ProbeFleet {
    static final long STEP_MS = 100;

    /** Time of the last fault. */
    static final long FAULTS_MS = TimeUnit.SECONDS.toMillis(40);

    /** Time for which a sound probe runs until it lifts the quarantine. */
    static final long RUN_MS = 1_000;

    /** Time for which the end of another target counts as an outage. */
    static final long OUTAGE_MS = TimeUnit.SECONDS.toMillis(3);

    private static final long END_MS = TimeUnit.SECONDS.toMillis(400);
    private static final int HOSTS = 4;
    private static final int TARGETS = 8;
    private static final long MAX_CLOCK_ERROR_MS = 2_000;
    private static final long JUDGEMENT_MS = 300;
    private static final long UNTOLD_MS = TimeUnit.SECONDS.toMillis(10);
    private static final double FAULT_CHANCE = 0.02;
    private static final double UNKNOWN_CHANCE = 0.3;
    private static final double NO_SLOT_CHANCE = 0.3;
    private static final double PREEMPTION_CHANCE = 0.04;
    private static final double RESET_CHANCE = 0.02;
    private static final double OUTAGE_CHANCE = 0.07;
    private static final double BUSY_CHANCE = 0.5;
    private static final double[] OUTAGE_SHARES = {0.12, 0.3, 0.6};
    private static final String SERVICE = "s";
    private static final Suspect SUSPECT = new Suspect(SERVICE, Set.of("shared"));
    private static final PromptParts OTHER = new PromptParts(List.of("other"));

    /** What the hosts hold back. */
    enum Work {
        /** Items that end no target. */
        SOUND_ITEMS,
        /** Items each of which ends its target. */
        BAD_ITEMS,
        /** Requests of callers, which come again and again, each of which ends its target. */
        BAD_REQUESTS;

        boolean isBad() {
            return this != SOUND_ITEMS;
        }
    }

    /** One target; it starts again after each end. */
    private static final class Target {
        private final int mNumber;
        private int mStarts;
        private long mUpAtMs;

        Target(int number) {
            mNumber = number;
        }

        String incarnation() {
            return mNumber + "@" + mStarts;
        }
    }

    /** One host with one item. */
    private static final class Host {
        private final String mItem;
        private final long mClockErrorMs;
        private final boolean mRestarts;
        private PromptQuarantine mQuarantine = new PromptQuarantine();
        private ItemProbes mProbes = new ItemProbes();
        private PromptSuspects mSuspects = newSuspects();
        private long mDownUntilMs;
        private long mSlotAtMs;
        private long mRunStartMs;
        private @Nullable Target mTarget;
        private long mJudgementMs = -1;

        Host(String item, long clockErrorMs) {
            mItem = item;
            mClockErrorMs = clockErrorMs;
            mRestarts = Math.abs(clockErrorMs) <= MAX_CLOCK_ERROR_MS;
        }

        private static PromptSuspects newSuspects() {
            return new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        }

        void read(PromptQuarantine.Entry entry, long nowMs) {
            mQuarantine.add(entry);
            mProbes.recordEntry(entry(), nowMs + mClockErrorMs, nanos(nowMs));
        }

        PromptQuarantine.Entry entry() {
            return mQuarantine.entries().iterator().next();
        }

        void restart(long untilMs) {
            mQuarantine = new PromptQuarantine();
            mProbes = new ItemProbes();
            mSuspects = newSuspects();
            mDownUntilMs = untilMs;
            mTarget = null;
            mJudgementMs = -1;
        }
    }

    private final Random mRandom;
    private final Work mWork;
    private final boolean mOutages;
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();
    private final List<Long> mSentMs = new ArrayList<>();

    /** Targets at which a bad item of a host that has ended runs on. */
    private final List<Target> mDoomed = new ArrayList<>();

    private PromptQuarantine.Entry mStored = PromptQuarantine.Entry.startingAt(SUSPECT, 0);
    private long mNowMs;
    private long mLiftedMs = -1;

    /**
     * Creates a fleet.
     *
     * @param work what the hosts hold back
     * @param outages whether targets end for another cause
     * @param firstAheadMs how far the clock of the first host is ahead; that host never ends
     */
    ProbeFleet(long seed, Work work, boolean outages, long firstAheadMs) {
        mRandom = new Random(seed);
        mWork = work;
        mOutages = outages;
        for (int i = 0; i < HOSTS; i++) {
            long errorMs = (long) ((2 * mRandom.nextDouble() - 1) * MAX_CLOCK_ERROR_MS);
            String item = work == Work.BAD_REQUESTS ? ItemProbes.REQUEST : "i" + i;
            mHosts.add(new Host(item, i == 0 ? errorMs + firstAheadMs : errorMs));
        }
        for (int i = 0; i < TARGETS; i++) {
            mTargets.add(new Target(i));
        }
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Returns when the quarantine was lifted, milliseconds; -1 if it was not. */
    long liftedMs() {
        return mLiftedMs;
    }

    /** Returns when probes were sent, milliseconds. */
    List<Long> sentMs() {
        return mSentMs;
    }

    /** Plays until the quarantine is lifted, or the end. */
    void play() {
        for (mNowMs = 0; mNowMs < END_MS && mLiftedMs < 0; mNowMs += STEP_MS) {
            if (mOutages && chance(OUTAGE_CHANCE)) {
                endTargets();
            }
            List.copyOf(mDoomed).forEach(this::endTarget);
            mDoomed.clear();
            for (Host host : mHosts) {
                if (host.mRestarts && chance(FAULT_CHANCE)) {
                    restart(host);
                }
                if (host.mDownUntilMs <= mNowMs) {
                    step(host);
                }
            }
        }
    }

    /** Draws a fault; there is none after the last one. */
    private boolean chance(double probability) {
        return mNowMs < FAULTS_MS && mRandom.nextDouble() < probability;
    }

    private void endTargets() {
        double share = OUTAGE_SHARES[mRandom.nextInt(OUTAGE_SHARES.length)];
        for (Target target : mTargets) {
            if (isUp(target) && mRandom.nextDouble() < share) {
                if (mRandom.nextDouble() < BUSY_CHANCE) {
                    reportEnd(target, OTHER);
                }
                endTarget(target);
            }
        }
    }

    private boolean isUp(Target target) {
        return target.mUpAtMs <= mNowMs;
    }

    private void reportEnd(Target target, PromptParts parts) {
        TargetEnd.Run run = TargetEnd.Run.afterEvents(parts, 0);
        TargetEnd end = new TargetEnd(SERVICE, target.incarnation(), List.of(run));
        mHosts.forEach(host -> host.mSuspects.recordEnd(end, nanos(mNowMs)));
    }

    private void endTarget(Target target) {
        for (Host host : mHosts) {
            if (target.equals(host.mTarget)) {
                host.mTarget = null;
                recordLostProbe(host, target);
            }
        }
        target.mStarts++;
        target.mUpAtMs = mNowMs + 800 + mRandom.nextInt(1_200);
    }

    private void recordLostProbe(Host host, Target target) {
        PromptParts parts = new PromptParts(List.of("shared"));
        host.mProbes.end(SUSPECT, host.mItem);
        if (mWork == Work.BAD_REQUESTS) {
            reportEnd(target, parts);
            long clockMs = mNowMs + host.mClockErrorMs;
            mStored = mStored.mergedWith(host.entry().withFailedRequest(clockMs));
        } else {
            reportEnd(target, parts.withItem(host.mItem));
            host.mJudgementMs = mNowMs + JUDGEMENT_MS;
        }
    }

    private void restart(Host host) {
        if (mWork.isBad() && host.mTarget != null) {
            mDoomed.add(host.mTarget);
        }
        host.restart(mNowMs + mRandom.nextInt(2_000));
    }

    private void step(Host host) {
        host.read(mStored, mNowMs);
        if (host.mJudgementMs >= 0 && host.mJudgementMs <= mNowMs) {
            host.mJudgementMs = -1;
            judge(host);
        } else if (host.mTarget != null) {
            run(host, host.mTarget);
        } else if (host.mProbes.mayBeSent(host.entry(), host.mItem, nanos(mNowMs))) {
            send(host);
        } else {
            claim(host);
        }
    }

    private void claim(Host host) {
        PromptQuarantine.Entry entry = host.entry();
        if (!host.mProbes.isDue(entry, host.mItem, nanos(mNowMs))) {
            return;
        }
        long clockMs = mNowMs + host.mClockErrorMs;
        boolean isGone = entry.isProbeOpen() && isGone(entry.probeTarget());
        if (isGone && othersEnded(host, UNTOLD_MS).isEmpty()) {
            mStored = mStored.mergedWith(entry.withFailedProbe(clockMs));
            return;
        }
        mStored = mStored.mergedWith(entry.withClaim(clockMs));
        host.read(mStored, mNowMs);
        if (!chance(UNKNOWN_CHANCE)) {
            host.mProbes.start(mStored, host.mItem, nanos(mNowMs));
            host.mSlotAtMs = chance(NO_SLOT_CHANCE) ? mNowMs + 3_000 : mNowMs;
        }
    }

    private boolean isGone(String incarnation) {
        boolean isRegistered =
                mTargets.stream().anyMatch(t -> isUp(t) && t.incarnation().equals(incarnation));
        return !incarnation.isEmpty() && !isRegistered;
    }

    private void send(Host host) {
        List<Target> up = mTargets.stream().filter(this::isUp).toList();
        if (up.isEmpty() || mNowMs < host.mSlotAtMs) {
            return;
        }
        Target target = up.get(mRandom.nextInt(up.size()));
        mSentMs.add(mNowMs);
        host.mTarget = target;
        host.mRunStartMs = mNowMs;
        if (mWork != Work.BAD_REQUESTS) {
            mStored = mStored.mergedWith(host.entry().withProbeSentTo(target.incarnation()));
        }
        host.read(mStored, mNowMs);
    }

    private void run(Host host, Target target) {
        if (mWork.isBad()) {
            endTarget(target);
        } else if (mNowMs - host.mRunStartMs >= RUN_MS) {
            mLiftedMs = mNowMs;
        } else if (chance(PREEMPTION_CHANCE)) {
            host.mTarget = null;
        } else if (chance(RESET_CHANCE)) {
            host.mProbes.end(SUSPECT, host.mItem);
            host.mTarget = null;
        }
    }

    /** Judges a probe whose target ended, from the reported ends and the targets that are down. */
    private void judge(Host host) {
        long since = nanos(mNowMs) - OUTAGE_MS;
        Set<String> others = host.mSuspects.endedTargets(SERVICE, since, end -> !hasSuspect(end));
        long down = mTargets.stream().filter(target -> !isUp(target)).count();
        if (others.isEmpty() && down <= 1) {
            long clockMs = mNowMs + host.mClockErrorMs;
            mStored = mStored.mergedWith(host.entry().withFailedProbe(clockMs));
        }
    }

    private Set<String> othersEnded(Host host, long withinMs) {
        long since = nanos(mNowMs - withinMs);
        return host.mSuspects.endedTargets(SERVICE, since, end -> !hasSuspect(end));
    }

    private static boolean hasSuspect(TargetEnd end) {
        return end.runs().stream().anyMatch(run -> SUSPECT.matches(SERVICE, run.parts()));
    }
}
