package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** A random history of hosts that hold items back, disturbed until {@link #DISTURBED_MS}. */
final class QuarantineHistory {
    static final long DISTURBED_MS = TimeUnit.SECONDS.toMillis(40);

    /** Time after the disturbances in which bad work shows how many targets it ends. */
    private static final long WATCHED_MS = TimeUnit.SECONDS.toMillis(110);

    private static final long STEP_MS = 100;
    private static final int LAST_ACCEPTANCE_MS = 60_000;
    private static final int IDENTIFIED_WITHIN_MS = 5_000;
    private static final int IDENTIFICATION_SPREAD_MS = 2_000;
    private static final int MAX_RUN_MS = 4_000;
    private static final int MAX_CLOCK_STEP_MS = 5_000;
    private static final int MAX_OUTAGE_MS = 6_000;
    private static final double[] OUTAGE_SHARES = {0.01, 0.3, 0.6};

    /** Generators whose seeds are close to each other begin alike. */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    /** The work of a history. */
    enum Work {
        /** Sound items, each with some of up to ten parts that are held back. */
        SOUND,
        /** One item that ends its targets among sound ones of the same part. */
        BAD_ITEM,
        /** Items of a part that ends their targets, and of sound parts. */
        BAD_PART,
        /** Items of a bad and of a sound part, among items of the sound part. */
        BAD_PART_IN_PAIRS
    }

    private final Random mRandom;
    private final Work mWork;
    private final boolean mBusy;
    private final VirtualFleet mFleet;
    private final List<Suspect> mBadCauses = new ArrayList<>();
    private final List<Suspect> mIdentified = new ArrayList<>();

    /** Creates a history; items go to any target or to the first with a slot, by the seed. */
    QuarantineHistory(long seed, Work work, int targets) {
        mRandom = new Random(SPREAD * seed);
        mWork = work;
        mBusy = mRandom.nextBoolean();
        mFleet = new VirtualFleet(mRandom, targets, mRandom.nextBoolean());
    }

    VirtualFleet fleet() {
        return mFleet;
    }

    /** Returns what ends each target that answers it. */
    List<Suspect> badCauses() {
        return mBadCauses;
    }

    void play() {
        VirtualClock clock = mFleet.clock();
        addWork();
        mIdentified.forEach(this::identifyAtSomeHosts);
        clock.every(STEP_MS, this::disturb);
        clock.every(STEP_MS, mFleet::answerOthers);
        clock.after(DISTURBED_MS, mFleet::endDisturbances);
        clock.runUntil(DISTURBED_MS + WATCHED_MS);
    }

    private void addWork() {
        switch (mWork) {
            case SOUND -> addSoundWork();
            case BAD_ITEM -> {
                addItems(10 + mRandom.nextInt(20), false, Set.of("p"));
                addItems(1, true, Set.of("p"));
                VirtualItem bad = mFleet.items().get(mFleet.items().size() - 1);
                mBadCauses.add(suspect("item:" + bad.id()));
                mIdentified.add(suspect("p"));
            }
            case BAD_PART -> {
                addItems(1 + mRandom.nextInt(8), true, Set.of("bad"));
                mBadCauses.add(suspect("bad"));
                mIdentified.add(suspect("bad"));
                addSoundWork();
            }
            case BAD_PART_IN_PAIRS -> {
                addItems(1 + mRandom.nextInt(8), true, Set.of("bad", "p"));
                addItems(1 + mRandom.nextInt(8), false, Set.of("p"));
                mBadCauses.add(suspect("bad"));
                mIdentified.add(suspect("bad"));
                mIdentified.add(suspect("p"));
            }
        }
    }

    private void addSoundWork() {
        int parts = 1 + mRandom.nextInt(10);
        for (int i = 0; i < parts; i++) {
            mIdentified.add(suspect("p" + i));
            addItems(1 + mRandom.nextInt(3), false, Set.of("p" + i));
        }
        for (int i = 0; i < mRandom.nextInt(8); i++) {
            Set<String> several = new TreeSet<>();
            several.add("p" + mRandom.nextInt(parts));
            several.add("p" + mRandom.nextInt(parts));
            addItems(1, false, several);
        }
        VirtualItem last = mFleet.items().get(mFleet.items().size() - 1);
        mIdentified.add(suspect("item:" + last.id()));
    }

    private static Suspect suspect(String part) {
        return new Suspect(VirtualFleet.SERVICE, Set.of(part));
    }

    private void addItems(int count, boolean bad, Set<String> parts) {
        for (int i = 0; i < count; i++) {
            String id = "i" + mFleet.items().size();
            long acceptedMs = mRandom.nextInt(LAST_ACCEPTANCE_MS);
            long runMs = 1 + mRandom.nextInt(MAX_RUN_MS);
            PromptParts prompt = new PromptParts(List.copyOf(parts));
            mFleet.accept(new VirtualItem(id, prompt, bad, acceptedMs, runMs));
        }
    }

    /** Lets some hosts identify a suspect by themselves, and some learn it from others. */
    private void identifyAtSomeHosts(Suspect suspect) {
        int atMs = mRandom.nextInt(IDENTIFIED_WITHIN_MS);
        int hosts = 1 + mRandom.nextInt(mFleet.hosts().size());
        for (int i = 0; i < hosts; i++) {
            int delayMs = atMs + mRandom.nextInt(IDENTIFICATION_SPREAD_MS);
            mFleet.clock().after(delayMs, () -> mFleet.anyHost().identify(suspect));
        }
    }

    private boolean chance(double probability) {
        return mRandom.nextDouble() < probability;
    }

    private void disturb() {
        if (mFleet.clock().nowMs() >= DISTURBED_MS) {
            return;
        }
        if (chance(0.04)) {
            endTargets();
        }
        if (chance(0.02)) {
            mFleet.replaceHost(mFleet.anyHost());
        }
        if (chance(0.01)) {
            mFleet.store().goAwayFor(untilEndMs(mRandom.nextInt(MAX_OUTAGE_MS)));
        }
        if (chance(0.02)) {
            mFleet.anyHost().cutWatchFor(untilEndMs(mRandom.nextInt(MAX_OUTAGE_MS)));
        }
        if (chance(0.01)) {
            mFleet.anyHost()
                    .setClockErrorMs(mRandom.nextInt(2 * MAX_CLOCK_STEP_MS) - MAX_CLOCK_STEP_MS);
        }
        if (chance(0.01)) {
            mFleet.anyHost().identify(mIdentified.get(mRandom.nextInt(mIdentified.size())));
        }
        for (VirtualTargets.Target target : mFleet.targetsUp()) {
            if (chance(0.03)) {
                mFleet.breakOff(target, mRandom.nextBoolean());
            }
        }
    }

    private long untilEndMs(long durationMs) {
        return Math.min(durationMs, DISTURBED_MS - mFleet.clock().nowMs());
    }

    private void endTargets() {
        double share = OUTAGE_SHARES[mRandom.nextInt(OUTAGE_SHARES.length)];
        List<VirtualTargets.Target> up = mFleet.targetsUp();
        for (int i = 0; i < up.size(); i++) {
            if (i == 0 || chance(share)) {
                mFleet.endTarget(up.get(i), mBusy && mRandom.nextBoolean());
            }
        }
    }
}
