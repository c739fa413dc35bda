package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Keeps quarantines as the store does: conditional writes, whose answers may get lost, and watches
 * that bring the changes in order, late, or after an interruption as a listing.
 */
final class VirtualStore {
    private static final int MAX_DELAY_MS = 20;
    private static final int MAX_LATE_MS = 1_500;
    private static final double LATE_CHANCE = 0.1;
    private static final double UNKNOWN_CHANCE = 0.15;

    /** What a host learns of a write. */
    enum Answer {
        COMMITTED,
        CONFLICT,
        UNKNOWN
    }

    /** An entry and the revision of its last write. */
    record Stored(PromptQuarantine.Entry entry, long revision) {}

    /** Receives what the store holds. */
    interface Listener {
        /** A suspect's entry was written, or is gone. */
        void onChange(Suspect suspect, @Nullable Stored stored);

        /** The watch starts again with all entries. */
        void onListing(Map<Suspect, Stored> listed);
    }

    /** The watch of one host. */
    final class Watch {
        private final Listener mListener;
        private long mLastArrivalMs;
        private boolean mCut;
        private boolean mClosed;

        private Watch(Listener listener) {
            mListener = listener;
        }

        private void deliver(Consumer<Listener> message) {
            boolean isLate = mDisturbed && mRandom.nextDouble() < LATE_CHANCE;
            long delayMs = 1 + mRandom.nextInt(isLate ? MAX_LATE_MS : MAX_DELAY_MS);
            mLastArrivalMs = Math.max(mLastArrivalMs, mClock.nowMs() + delayMs);
            mClock.after(
                    mLastArrivalMs - mClock.nowMs(),
                    () -> {
                        if (!mClosed) {
                            message.accept(mListener);
                        }
                    });
        }

        void cutFor(long durationMs) {
            mCut = true;
            mClock.after(durationMs, this::list);
        }

        private void list() {
            mCut = false;
            Map<Suspect, Stored> listed = new TreeMap<>(mEntries);
            deliver(listener -> listener.onListing(listed));
        }

        void close() {
            mClosed = true;
            mWatches.remove(this);
        }
    }

    private final VirtualClock mClock;
    private final Random mRandom;
    private final Map<Suspect, Stored> mEntries = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mRevision;
    private boolean mDisturbed = true;
    private boolean mAway;

    VirtualStore(VirtualClock clock, Random random) {
        mClock = clock;
        mRandom = random;
    }

    void endDisturbances() {
        mDisturbed = false;
        mAway = false;
    }

    /** Takes no writes for a while. */
    void goAwayFor(long durationMs) {
        mAway = true;
        mClock.after(durationMs, () -> mAway = false);
    }

    Watch watch(Listener listener) {
        Watch watch = new Watch(listener);
        mWatches.add(watch);
        watch.list();
        return watch;
    }

    /** Writes or, for null, deletes an entry if the last write of it was {@code revision}. */
    void commit(
            Suspect suspect,
            long revision,
            PromptQuarantine.@Nullable Entry entry,
            Consumer<Answer> onAnswer) {
        mClock.after(
                1 + mRandom.nextInt(MAX_DELAY_MS), () -> apply(suspect, revision, entry, onAnswer));
    }

    private void apply(
            Suspect suspect,
            long revision,
            PromptQuarantine.@Nullable Entry entry,
            Consumer<Answer> onAnswer) {
        Stored present = mEntries.get(suspect);
        boolean matches = revision == (present == null ? 0 : present.revision());
        if (!mAway && matches) {
            write(suspect, entry);
        }
        boolean isLost = mDisturbed && mRandom.nextDouble() < UNKNOWN_CHANCE;
        Answer known = matches ? Answer.COMMITTED : Answer.CONFLICT;
        Answer answer = mAway || isLost ? Answer.UNKNOWN : known;
        long delayMs = 1 + mRandom.nextInt(isLost ? MAX_LATE_MS : MAX_DELAY_MS);
        mClock.after(delayMs, () -> onAnswer.accept(answer));
    }

    private void write(Suspect suspect, PromptQuarantine.@Nullable Entry entry) {
        mRevision++;
        Stored stored = entry == null ? null : new Stored(withoutTarget(entry), mRevision);
        if (stored == null) {
            mEntries.remove(suspect);
        } else {
            mEntries.put(suspect, stored);
        }
        for (Watch watch : mWatches) {
            if (!watch.mCut) {
                watch.deliver(listener -> listener.onChange(suspect, stored));
            }
        }
    }

    /** Returns an entry as it is read: the target of its probe is not stored. */
    private static PromptQuarantine.Entry withoutTarget(PromptQuarantine.Entry entry) {
        return new PromptQuarantine.Entry(
                entry.suspect(),
                entry.sinceMs(),
                entry.untilMs(),
                entry.probeClaims(),
                entry.failedProbes(),
                entry.nextProbeMs(),
                "");
    }
}
