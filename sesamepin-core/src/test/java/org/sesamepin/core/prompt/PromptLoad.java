package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Plays requests of many hosts at many targets on a virtual clock. Hosts differ in how many
 * requests they get; what one finds out reaches the others after a delay, and a host that is cut
 * off learns only from the store.
 */
final class PromptLoad {
    static final String SERVICE = "s";
    static final long STEP_MS = 10;
    private static final long ANSWER_MS = 400;
    private static final long ITEM_ANSWER_MS = 4_000;
    private static final long FIRST_EVENT_MS = 30;
    private static final long MS_TO_END_TARGET = 100;
    private static final long PEER_DELAY_MS = 80;
    private static final long STORE_DELAY_MS = 600;
    private static final long REPORT_INTERVAL_MS = 50;

    private record Running(
            int host, PromptParts parts, long startedAt, boolean bad, boolean isItem) {
        boolean isAnswered(long now) {
            return now - startedAt >= (isItem ? ITEM_ANSWER_MS : ANSWER_MS);
        }
    }

    private record Message(long arrivesAt, Runnable delivery) {}

    private final class Host {
        private final PromptSuspects mSuspects =
                new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, 0);
        private final PromptQuarantine mQuarantine = new PromptQuarantine();
    }

    private final Random mRandom;
    private final List<Host> mHosts = new ArrayList<>();
    private final Set<Integer> mCutOff = new TreeSet<>();
    private final Map<String, List<Running>> mTargets = new HashMap<>();
    private final List<Message> mMessages = new ArrayList<>();
    private final Set<String> mBadParts;
    private final int mTargetCount;
    private long mNow;
    private int mStarted;
    private int mSoundBlocked;
    private int mSoundSent;
    private final List<Long> mEnds = new ArrayList<>();
    private final List<Long> mBadSends = new ArrayList<>();

    PromptLoad(long seed, int hosts, int targets, Set<String> badParts) {
        mRandom = new Random(seed);
        mBadParts = badParts;
        mTargetCount = targets;
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new Host());
        }
        for (int i = 0; i < targets; i++) {
            startTarget();
        }
    }

    private void startTarget() {
        mTargets.put("t" + ++mStarted, new ArrayList<>());
    }

    private List<Running> runningAt(String target) {
        return Objects.requireNonNull(mTargets.get(target));
    }

    /** Cuts a host off from its peers, but not from the store. */
    void cutOff(int host) {
        mCutOff.add(host);
    }

    /** Advances the clock by one step: deliveries, ends and answers, then reviews. */
    void step() {
        mNow += STEP_MS;
        List<Message> due = mMessages.stream().filter(m -> m.arrivesAt() <= mNow).toList();
        mMessages.removeAll(due);
        due.forEach(message -> message.delivery().run());
        for (String target : List.copyOf(mTargets.keySet())) {
            advance(target);
        }
        if (mNow % REPORT_INTERVAL_MS == 0) {
            for (int i = 0; i < mHosts.size(); i++) {
                review(i);
            }
        }
    }

    private void advance(String target) {
        List<Running> running = runningAt(target);
        if (running.stream().anyMatch(r -> r.bad() && mNow - r.startedAt() >= MS_TO_END_TARGET)) {
            end(target);
            return;
        }
        List<Running> answered = running.stream().filter(r -> r.isAnswered(mNow)).toList();
        running.removeAll(answered);
        for (Running r : answered) {
            mHosts.get(r.host()).mSuspects.recordSuccess(SERVICE, r.parts(), nanos());
        }
    }

    /** Lets the hosts preempt all items at a target. */
    void preemptItems(String target) {
        List<Running> items = runningAt(target).stream().filter(Running::isItem).toList();
        runningAt(target).removeAll(items);
        for (Running item : items) {
            long answeredMs = mNow - item.startedAt() - FIRST_EVENT_MS;
            mHosts.get(item.host())
                    .mSuspects
                    .recordPreemption(
                            SERVICE,
                            item.parts(),
                            TimeUnit.MILLISECONDS.toNanos(answeredMs),
                            nanos());
        }
    }

    /** Ends a target with all that it runs. */
    void end(String target) {
        List<Running> running = runningAt(target);
        mTargets.remove(target);
        mEnds.add(mNow);
        startTarget();
        Map<Integer, List<TargetEnd.Run>> runsByHost = new HashMap<>();
        for (Running r : running) {
            long events = r.bad() ? 0 : (mNow - r.startedAt()) / FIRST_EVENT_MS;
            runsByHost
                    .computeIfAbsent(r.host(), h -> new ArrayList<>())
                    .add(TargetEnd.Run.afterEvents(r.parts(), events));
        }
        runsByHost.forEach(
                (host, runs) -> {
                    TargetEnd end = new TargetEnd(SERVICE, target, runs);
                    mHosts.get(host).mSuspects.recordEnd(end, nanos());
                    toPeers(host, peer -> peer.mSuspects.recordEnd(end, nanos()));
                });
    }

    private void toPeers(int from, Consumer<Host> delivery) {
        for (int i = 0; i < mHosts.size(); i++) {
            if (i != from && !mCutOff.contains(i) && !mCutOff.contains(from)) {
                Host peer = mHosts.get(i);
                mMessages.add(new Message(mNow + PEER_DELAY_MS, () -> delivery.accept(peer)));
            }
        }
    }

    private void review(int index) {
        Host host = mHosts.get(index);
        host.mSuspects
                .successesToReport()
                .forEach(
                        (part, count) ->
                                toPeers(
                                        index,
                                        peer ->
                                                peer.mSuspects.recordPeerSuccesses(
                                                        "h" + index,
                                                        SERVICE,
                                                        part.label(),
                                                        count)));
        for (Suspect found : host.mSuspects.findCauses(nanos(), host.mQuarantine::contains)) {
            PromptQuarantine.Entry entry = PromptQuarantine.Entry.startingAt(found, mNow);
            host.mQuarantine.add(entry);
            for (Host other : mHosts) {
                mMessages.add(
                        new Message(mNow + STORE_DELAY_MS, () -> other.mQuarantine.add(entry)));
            }
        }
    }

    /** Sends a request from a host to a random target, unless the host holds it back. */
    void send(String... parts) {
        send(false, parts);
    }

    /** Sends a long item of a job, which has to be preempted to end early. */
    void sendItem(String... parts) {
        send(true, parts);
    }

    private void send(boolean isItem, String... parts) {
        PromptParts prompt = new PromptParts(List.of(parts));
        boolean bad = prompt.shared().stream().anyMatch(mBadParts::contains);
        double draw = mRandom.nextDouble();
        int host = (int) (draw * draw * mHosts.size());
        boolean blocked = mHosts.get(host).mQuarantine.blocking(SERVICE, prompt) != null;
        mSoundSent += bad ? 0 : 1;
        mSoundBlocked += !bad && blocked ? 1 : 0;
        if (blocked) {
            return;
        }
        if (bad) {
            mBadSends.add(mNow);
        }
        runningAt(randomTarget()).add(new Running(host, prompt, mNow, bad, isItem));
    }

    String randomTarget() {
        List<String> targets = new ArrayList<>(new TreeSet<>(mTargets.keySet()));
        return targets.get(mRandom.nextInt(mTargetCount));
    }

    boolean draw(double probability) {
        return mRandom.nextDouble() < probability;
    }

    int draw(int bound) {
        return mRandom.nextInt(bound);
    }

    /** Returns the number of bad requests sent later than {@code windowMs} after the n-th end. */
    long badSendsAfterEnd(int n, long windowMs) {
        if (mEnds.size() < n) {
            return 0;
        }
        long learnedAt = mEnds.get(n - 1) + windowMs;
        return mBadSends.stream().filter(at -> at > learnedAt).count();
    }

    int ends() {
        return mEnds.size();
    }

    int soundBlocked() {
        return mSoundBlocked;
    }

    int soundSent() {
        return mSoundSent;
    }

    /** Returns what the hosts hold in quarantine. */
    Set<String> quarantined() {
        Set<String> labels = new TreeSet<>();
        mHosts.forEach(h -> h.mQuarantine.entries().forEach(e -> labels.add(e.suspect().label())));
        return labels;
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNow);
    }
}
