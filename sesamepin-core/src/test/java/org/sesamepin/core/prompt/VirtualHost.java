package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * One host that holds items back: the quarantine, its probes and the evidence, used in the same way
 * as by a host's event loop. It learns of other hosts by their messages and by the store.
 */
final class VirtualHost implements VirtualStore.Listener {
    private static final long JUDGEMENT_MS = 250;
    private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long UNTOLD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SOUND_ANSWER_MS = 1_000;
    private static final long SOUND_AFTER_LIFT_MS = 3_000;
    private static final long REVIEW_MS = 50;
    private static final long REVIEWED_MS = 2_000;
    private static final long RETRY_MS = 1_000;
    private static final int MAX_WRITE_DELAY_MS = 400;
    private static final int CONNECT_MS = 3;

    /** What a host reaches outside of itself. */
    interface Surroundings {
        /** Sends a message to each peer. */
        void broadcast(Consumer<VirtualHost> message);

        /** Returns whether a target's incarnation has ended, as a connection attempt shows. */
        boolean isGone(String incarnation);

        /** Returns whether one of some registered targets refuses connections. */
        boolean anyRefuses(Set<String> exceptIncarnations);
    }

    private final String mName;
    private final VirtualClock mClock;
    private final VirtualStore mStore;
    private final Random mRandom;
    private final Surroundings mSurroundings;
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final ItemProbes mProbes = new ItemProbes();
    private final PromptSuspects mSuspects;
    private final Map<Suspect, VirtualStore.Stored> mStored = new HashMap<>();
    private final Set<Suspect> mClaiming = new HashSet<>();
    private final VirtualStore.Watch mWatch;
    private long mClockErrorMs;
    private long mReviewUntilMs = -1;
    private boolean mListed;
    private boolean mEnded;

    VirtualHost(
            String name,
            VirtualClock clock,
            VirtualStore store,
            Random random,
            Surroundings surroundings,
            long clockErrorMs) {
        mName = name;
        mClock = clock;
        mStore = store;
        mRandom = random;
        mSurroundings = surroundings;
        mClockErrorMs = clockErrorMs;
        mSuspects = new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, clock.nanoTime());
        mWatch = store.watch(this);
    }

    void end() {
        mEnded = true;
        mWatch.close();
    }

    boolean hasEnded() {
        return mEnded;
    }

    /** Returns whether this host has read the store; it sends nothing before. */
    boolean isLoaded() {
        return mListed;
    }

    void setClockErrorMs(long clockErrorMs) {
        mClockErrorMs = clockErrorMs;
    }

    void cutWatchFor(long durationMs) {
        mWatch.cutFor(durationMs);
    }

    private long wallMs() {
        return mClock.nowMs() + mClockErrorMs;
    }

    private void after(long delayMs, Runnable action) {
        mClock.after(
                delayMs,
                () -> {
                    if (!mEnded) {
                        action.run();
                    }
                });
    }

    /** Returns whether something about an item is in quarantine. */
    boolean hasSuspect(VirtualItem item) {
        return !blocking(item.prompt()).isEmpty();
    }

    /** Identifies a suspect, rightly or not. */
    void identify(Suspect suspect) {
        if (!mQuarantine.contains(suspect)) {
            PromptQuarantine.Entry entry = mQuarantine.newEntry(suspect, wallMs());
            announce(entry, true);
        }
    }

    private void announce(PromptQuarantine.Entry entry, boolean toStore) {
        add(entry);
        if (toStore) {
            put(entry);
        }
        mSurroundings.broadcast(peer -> peer.adopt(entry));
    }

    private boolean add(PromptQuarantine.Entry entry) {
        boolean isAdded = mQuarantine.add(entry);
        if (isAdded) {
            recordChange(entry.suspect());
        }
        return isAdded;
    }

    private void recordChange(Suspect suspect) {
        mProbes.retain(mQuarantine::contains);
        PromptQuarantine.Entry entry = mQuarantine.get(suspect);
        if (entry != null) {
            mProbes.recordEntry(entry, wallMs(), mClock.nanoTime());
        }
    }

    private void adopt(PromptQuarantine.Entry entry) {
        boolean isKnown = mQuarantine.contains(entry.suspect());
        if (!mEnded && add(entry) && !isKnown) {
            after(1 + mRandom.nextInt(MAX_WRITE_DELAY_MS), () -> put(entry));
        }
    }

    /** Tells the peers what is in quarantine, as regular reports do. */
    void report() {
        List<PromptQuarantine.Entry> entries = List.copyOf(mQuarantine.entries());
        mSurroundings.broadcast(peer -> entries.forEach(peer::adopt));
    }

    private void put(PromptQuarantine.Entry entry) {
        Suspect suspect = entry.suspect();
        VirtualStore.Stored stored = mStored.get(suspect);
        PromptQuarantine.Entry value = stored == null ? entry : entry.mergedWith(stored.entry());
        boolean isStored = stored != null && isSameApartFromTarget(value, stored.entry());
        if (isStored || !mQuarantine.isInForce(entry)) {
            return;
        }
        mStore.commit(
                suspect,
                stored == null ? 0 : stored.revision(),
                value,
                answer -> {
                    if (answer != VirtualStore.Answer.COMMITTED) {
                        after(RETRY_MS, () -> put(entry));
                    }
                });
    }

    private static boolean isSameApartFromTarget(
            PromptQuarantine.Entry entry, PromptQuarantine.Entry other) {
        return entry.withProbeSentTo("").equals(other.withProbeSentTo(""));
    }

    private void remove(PromptQuarantine.Entry entry) {
        VirtualStore.Stored stored = mStored.get(entry.suspect());
        if (stored == null || stored.entry().sinceMs() > entry.sinceMs()) {
            return;
        }
        mStore.commit(
                entry.suspect(),
                stored.revision(),
                null,
                answer -> {
                    if (answer != VirtualStore.Answer.COMMITTED) {
                        after(RETRY_MS, () -> remove(entry));
                    }
                });
    }

    @Override
    public void onChange(Suspect suspect, VirtualStore.@Nullable Stored stored) {
        if (stored != null) {
            mStored.put(suspect, stored);
            adopt(stored.entry());
        } else if (mStored.remove(suspect) != null) {
            lift(suspect);
        }
    }

    @Override
    public void onListing(Map<Suspect, VirtualStore.Stored> listed) {
        mListed = true;
        listed.forEach(this::onChange);
        for (Suspect suspect : List.copyOf(mStored.keySet())) {
            if (!listed.containsKey(suspect)) {
                onChange(suspect, null);
            }
        }
    }

    private void lift(Suspect suspect) {
        if (mQuarantine.lift(suspect)) {
            recordChange(suspect);
            mSuspects.recordSound(suspect, mClock.nanoTime());
        }
    }

    private List<PromptQuarantine.Entry> blocking(PromptParts prompt) {
        return mQuarantine.allBlocking(VirtualFleet.SERVICE, prompt);
    }

    private boolean mayBeSent(PromptQuarantine.Entry entry, VirtualItem item) {
        boolean isClaimed = mProbes.mayBeSent(entry, item.probeId(), mClock.nanoTime());
        return isClaimed && (!item.isBad() || isFreeFor(entry, item));
    }

    private boolean isFreeFor(PromptQuarantine.Entry entry, VirtualItem request) {
        return mQuarantine.isFreeFor(entry.suspect(), request.requestId(), wallMs());
    }

    boolean isHeld(VirtualItem item) {
        return !blocking(item.prompt()).stream().allMatch(entry -> mayBeSent(entry, item));
    }

    /** Claims the probe of all quarantines that hold an item back, once that is due. */
    void claim(VirtualItem item, Runnable onClaimed) {
        List<PromptQuarantine.Entry> toClaim = new ArrayList<>();
        List<PromptQuarantine.Entry> holding = blocking(item.prompt());
        if (holding.stream().anyMatch(entry -> entry.suspect().isContent())) {
            return;
        }
        for (PromptQuarantine.Entry entry : holding) {
            if (mayBeSent(entry, item)) {
                continue;
            }
            boolean isDue =
                    mProbes.isDue(entry, item.probeId(), holding.size() > 1, mClock.nanoTime());
            if (!isDue || mClaiming.contains(entry.suspect())) {
                return;
            }
            toClaim.add(entry);
        }
        for (PromptQuarantine.Entry entry : toClaim) {
            mClaiming.add(entry.suspect());
            after(1 + mRandom.nextInt(CONNECT_MS), () -> claimUnlessFailed(entry, item, onClaimed));
        }
    }

    private void claimUnlessFailed(
            PromptQuarantine.Entry entry, VirtualItem item, Runnable onClaimed) {
        mClaiming.remove(entry.suspect());
        boolean isFailed =
                entry.isProbeOpen()
                        && mProbes.wasClaimedWithin(
                                entry.suspect(), UNTOLD_NANOS, mClock.nanoTime())
                        && mSurroundings.isGone(entry.probeTarget())
                        && otherEnds(UNTOLD_NANOS).isEmpty();
        if (!mQuarantine.isInForce(entry)) {
            return;
        }
        if (isFailed) {
            announce(entry.withFailedProbe(wallMs()), true);
        } else {
            claim(entry, item, onClaimed);
        }
    }

    private void claim(PromptQuarantine.Entry entry, VirtualItem item, Runnable onClaimed) {
        Suspect suspect = entry.suspect();
        PromptQuarantine.Entry claimed = entry.withClaim(wallMs());
        VirtualStore.Stored stored = mStored.get(suspect);
        mClaiming.add(suspect);
        mStore.commit(
                suspect,
                stored == null ? 0 : stored.revision(),
                claimed,
                answer -> {
                    if (!mEnded) {
                        onClaimAnswer(claimed, answer, item, onClaimed);
                    }
                });
    }

    private void onClaimAnswer(
            PromptQuarantine.Entry claimed,
            VirtualStore.Answer answer,
            VirtualItem item,
            Runnable onClaimed) {
        mClaiming.remove(claimed.suspect());
        if (answer != VirtualStore.Answer.COMMITTED) {
            return;
        }
        announce(claimed, false);
        if (mQuarantine.isInForce(claimed)) {
            mQuarantine.endProbe(claimed.suspect());
            mProbes.start(claimed, item.probeId(), mClock.nanoTime());
        }
        if (!isHeld(item)) {
            onClaimed.run();
        }
    }

    void recordSent(VirtualItem item, String incarnation) {
        for (PromptQuarantine.Entry entry : blocking(item.prompt())) {
            if (item.isBad()) {
                mQuarantine.startProbe(entry.suspect(), item.requestId(), wallMs());
            } else if (mayBeSent(entry, item)) {
                announce(entry.withProbeSentTo(incarnation), false);
            }
        }
    }

    void recordLostRun(VirtualItem item) {
        blocking(item.prompt()).forEach(entry -> mProbes.end(entry.suspect(), item.probeId()));
    }

    void recordPreemption(VirtualItem item, long answeredMs) {
        long answeredNanos = TimeUnit.MILLISECONDS.toNanos(answeredMs);
        mSuspects.recordPreemption(
                VirtualFleet.SERVICE, item.prompt(), answeredNanos, mClock.nanoTime());
    }

    void recordSuccess(PromptParts prompt) {
        mSuspects.recordSuccess(VirtualFleet.SERVICE, prompt, mClock.nanoTime());
        for (PromptQuarantine.Entry entry : blocking(prompt)) {
            if (mProbes.wasProbe(entry.suspect(), prompt.itemId())) {
                remove(entry);
                lift(entry.suspect());
            }
        }
    }

    void recordLongAnswer(VirtualItem item, long answeredMs) {
        for (PromptQuarantine.Entry entry : blocking(item.prompt())) {
            Suspect suspect = entry.suspect();
            boolean wasLifted = mQuarantine.wasLifted(suspect);
            long soundMs = wasLifted ? SOUND_AFTER_LIFT_MS : SOUND_ANSWER_MS;
            if (answeredMs >= soundMs && mProbes.wasProbe(suspect, item.probeId())) {
                remove(entry);
                lift(suspect);
            }
        }
    }

    /** Records the end of a target under requests of this host. */
    void recordEnd(TargetEnd end) {
        Set<Suspect> probed = new HashSet<>();
        for (TargetEnd.Run run : end.runs()) {
            String itemId = run.parts().itemId();
            blocking(run.parts()).stream()
                    .map(PromptQuarantine.Entry::suspect)
                    .filter(suspect -> !itemId.isEmpty() && mProbes.wasLost(suspect, itemId))
                    .forEach(probed::add);
            prolong(run.parts());
        }
        if (!probed.isEmpty()) {
            after(JUDGEMENT_MS, () -> judge(end.target(), probed));
        }
        recordEvidence(end);
        mSurroundings.broadcast(peer -> peer.recordEvidence(end));
    }

    /** Records that the target of a request ended, if it was a probe. */
    private void prolong(PromptParts prompt) {
        PromptQuarantine.Entry prolonged =
                mQuarantine.prolongAfterEnd(VirtualFleet.SERVICE, prompt, wallMs());
        if (prolonged != null) {
            announce(prolonged.withFailedRequest(wallMs()), true);
        }
    }

    private void recordEvidence(TargetEnd end) {
        mSuspects.recordEnd(end, mClock.nanoTime());
        boolean isReviewing = mReviewUntilMs >= mClock.nowMs();
        mReviewUntilMs = mClock.nowMs() + REVIEWED_MS;
        if (!isReviewing) {
            after(REVIEW_MS, this::review);
        }
    }

    private void review() {
        mSuspects.findCauses(mClock.nanoTime(), mQuarantine::contains).forEach(this::identify);
        Map<Suspect, Integer> successes = mSuspects.successesToReport();
        mSurroundings.broadcast(peer -> successes.forEach((s, n) -> peer.record(mName, s, n)));
        if (mClock.nowMs() + REVIEW_MS <= mReviewUntilMs) {
            after(REVIEW_MS, this::review);
        } else {
            mReviewUntilMs = -1;
        }
    }

    private void record(String host, Suspect part, int successes) {
        mSuspects.recordPeerSuccesses(host, part.service(), part.label(), successes);
    }

    private void judge(String target, Set<Suspect> probed) {
        long since = mClock.nanoTime() - OUTAGE_NANOS;
        Set<String> explained =
                mSuspects.endedTargets(VirtualFleet.SERVICE, since, this::hasSuspect);
        if (!otherEnds(OUTAGE_NANOS).isEmpty() || mSurroundings.anyRefuses(explained)) {
            probed.forEach(suspect -> recordOver(suspect, target));
            return;
        }
        for (Suspect suspect : probed) {
            PromptQuarantine.Entry entry = mQuarantine.get(suspect);
            if (entry != null) {
                announce(entry.withFailedProbe(wallMs()), true);
            }
        }
    }

    /** Tells that a probe said nothing, if it is the last one. */
    private void recordOver(Suspect suspect, String target) {
        PromptQuarantine.Entry entry = mQuarantine.get(suspect);
        if (entry != null && entry.probeTarget().equals(target)) {
            announce(entry.withProbeOver(), false);
        }
    }

    private Set<String> otherEnds(long withinNanos) {
        long since = mClock.nanoTime() - withinNanos;
        return mSuspects.endedTargets(VirtualFleet.SERVICE, since, end -> !hasSuspect(end));
    }

    private boolean hasSuspect(TargetEnd end) {
        return end.runs().stream().anyMatch(run -> !blocking(run.parts()).isEmpty());
    }

    /** Returns the entries for the message of a failed check. */
    @Override
    public String toString() {
        return mName + mQuarantine.entries();
    }
}
