package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Targets that run items, end with all that they run, and start again. The registration of an ended
 * target lapses later.
 */
final class VirtualTargets {
    private static final int SLOTS = 4;
    private static final int MIN_START_MS = 800;
    private static final int START_SPREAD_MS = 1_200;
    private static final int MIN_LAPSE_MS = 300;
    private static final int LAPSE_SPREAD_MS = 1_500;

    /** One target. */
    static final class Target {
        private final int mNumber;
        private final List<VirtualRun> mRuns = new ArrayList<>();
        private int mStarts;
        private long mUpAtMs;

        private Target(int number) {
            mNumber = number;
        }

        String incarnation() {
            return "t" + mNumber + "@" + mStarts;
        }

        List<VirtualRun> runs() {
            return mRuns;
        }
    }

    private final VirtualClock mClock;
    private final Random mRandom;
    private final boolean mPacked;
    private final List<Target> mTargets = new ArrayList<>();

    /** Ended incarnations, with the times at which their registrations lapse. */
    private final Map<String, Long> mLapsesMs = new HashMap<>();

    /**
     * Creates targets that run nothing.
     *
     * @param packed whether items are sent to the first target with a slot, not to any
     */
    VirtualTargets(VirtualClock clock, Random random, int count, boolean packed) {
        mClock = clock;
        mRandom = random;
        mPacked = packed;
        for (int i = 0; i < count; i++) {
            mTargets.add(new Target(i));
        }
    }

    private boolean isUp(Target target) {
        return target.mUpAtMs <= mClock.nowMs();
    }

    List<Target> up() {
        return mTargets.stream().filter(this::isUp).toList();
    }

    /** Returns a target with a free slot, or null. */
    @Nullable Target choose() {
        List<Target> free = up().stream().filter(t -> t.mRuns.size() < SLOTS).toList();
        if (free.isEmpty()) {
            return null;
        }
        return free.get(mPacked ? 0 : mRandom.nextInt(free.size()));
    }

    /** Ends a target; returns what ran there. */
    List<VirtualRun> end(Target target) {
        List<VirtualRun> runs = List.copyOf(target.mRuns);
        target.mRuns.clear();
        mLapsesMs.put(
                target.incarnation(),
                mClock.nowMs() + MIN_LAPSE_MS + mRandom.nextInt(LAPSE_SPREAD_MS));
        target.mStarts++;
        target.mUpAtMs = mClock.nowMs() + MIN_START_MS + mRandom.nextInt(START_SPREAD_MS);
        return runs;
    }

    boolean isGone(String incarnation) {
        return up().stream().noneMatch(target -> target.incarnation().equals(incarnation));
    }

    /** Returns whether a registered target has ended, apart from some. */
    boolean anyRefuses(Set<String> exceptIncarnations) {
        return mLapsesMs.entrySet().stream()
                .filter(lapse -> lapse.getValue() > mClock.nowMs())
                .anyMatch(lapse -> !exceptIncarnations.contains(lapse.getKey()));
    }
}
