package org.sesamepin.node.prompt;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.prompt.ItemProbes;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.PromptSuspects;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.core.prompt.TargetEnd;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PromptEvidence;
import org.sesamepin.node.peer.generated.PromptQuarantineEntry;
import org.sesamepin.node.peer.generated.PromptSuccesses;
import org.sesamepin.node.peer.generated.TargetEndReport;
import org.sesamepin.node.serving.StoreMirror;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps prompts from targets that end under them. Each host tells all peers which targets ended
 * under its requests and which prompts it saw answered, judges the evidence of all hosts by itself,
 * and stores what it finds. Confined to the event loop.
 */
public final class PromptGuard implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PromptGuard.class);

    /** Time between the arrival of evidence and its review, and between two reviews. */
    private static final long REVIEW_INTERVAL_MS = 50;

    /** Time after the last evidence for which reviews go on. */
    private static final long REVIEW_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long SEND_TIMEOUT_MS = 400;

    /** Time for which the answer of a probe goes on that lifts a quarantine. */
    private static final long SOUND_ANSWER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The same for parts that were lifted before and came back. */
    private static final long SOUND_AFTER_LIFT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Longest time after the start for which requests wait for the quarantine to be read. */
    private static final long MAX_READ_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final HostDirectory mHosts;
    private final PeerClient mPeerClient;
    private final TargetEndDetector mDetector;
    private final PromptQuarantineStore mQuarantineStore;
    private final PromptSuspects mSuspects;
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final ItemProber mItemProber;
    private final List<TargetEnd> mUnreportedEnds = new ArrayList<>();
    private final List<PromptQuarantine.Entry> mUnreportedEntries = new ArrayList<>();
    private final long mStartedAt;
    private long mLastEvidenceAt;
    private boolean mReviewScheduled;
    private long mEndCount;

    /**
     * Creates a guard that knows of no bad prompt.
     *
     * @param identity what the ids of targets identify
     * @param endConfirmation decides whether a target that refuses connections has ended
     * @param targets the registered targets
     */
    public PromptGuard(
            Vertx vertx,
            Ticker ticker,
            PromptSuspects.TargetIdentity identity,
            HostDirectory hosts,
            PeerClient peerClient,
            EndConfirmation endConfirmation,
            ServiceTargets targets,
            QuarantineStorage storage) {
        mVertx = vertx;
        mTicker = ticker;
        mHosts = hosts;
        mPeerClient = peerClient;
        mStartedAt = ticker.nanoTime();
        mSuspects = new PromptSuspects(identity, ticker.nanoTime());
        mDetector = new TargetEndDetector(vertx, endConfirmation, this::onTargetEnd);
        mQuarantineStore =
                new PromptQuarantineStore(
                        vertx, storage, this::onStored, this::lift, mQuarantine::isInForce);
        mItemProber =
                new ItemProber(
                        vertx,
                        ticker,
                        mQuarantine,
                        mSuspects,
                        mQuarantineStore,
                        targets,
                        new OutageCheck(mDetector::hasEnded, ThreadLocalRandom.current()),
                        this::announceProbe);
    }

    /** Returns the listener that reads the quarantine from the store. */
    public StoreMirror.Listener storeListener() {
        return mQuarantineStore;
    }

    /**
     * Returns whether this host knows what is in quarantine. A host that has just started reads it
     * from the store first; when the store does not answer, it serves without it after a while.
     */
    public boolean isLoaded() {
        return mQuarantineStore.isListed() || mTicker.nanoTime() - mStartedAt > MAX_READ_NANOS;
    }

    /**
     * Returns the quarantine that forbids to send a request to {@code service}, or null. A request
     * that is the probe of each quarantine that concerns it is not forbidden; the answer is the
     * same at each check.
     */
    public PromptQuarantine.@Nullable Entry blocking(
            String service, PromptParts prompt, String requestId) {
        List<PromptQuarantine.Entry> entries = mQuarantine.allBlocking(service, prompt);
        long nowMs = System.currentTimeMillis();
        for (PromptQuarantine.Entry entry : entries) {
            if (!mayPass(entry, prompt.itemId(), requestId, nowMs)) {
                claimRequestProbe(service, prompt);
                return entry;
            }
        }
        if (prompt.itemId().isEmpty()) {
            entries.forEach(e -> mQuarantine.startProbe(e.suspect(), requestId, nowMs));
        }
        return null;
    }

    /**
     * Claims a probe for the next request with the same parts. Whole contents are left out: they
     * are hardly ever accused for another cause.
     */
    private void claimRequestProbe(String service, PromptParts prompt) {
        boolean hasContent =
                mQuarantine.allBlocking(service, prompt).stream()
                        .anyMatch(entry -> entry.suspect().isContent());
        if (prompt.itemId().isEmpty() && !hasContent) {
            mItemProber.claim(service, prompt, () -> {});
        }
    }

    /** Returns the quarantines that hold an item back; starts no probe. */
    public List<PromptQuarantine.Entry> holding(String service, PromptParts prompt) {
        return mQuarantine.allBlocking(service, prompt).stream()
                .filter(entry -> !mItemProber.mayBeSent(entry, prompt.itemId()))
                .toList();
    }

    private boolean mayPass(
            PromptQuarantine.Entry entry, String itemId, String requestId, long nowMs) {
        if (!itemId.isEmpty()) {
            return mItemProber.mayBeSent(entry, itemId);
        }
        Suspect suspect = entry.suspect();
        if (mQuarantine.isProbe(suspect, requestId, nowMs)) {
            return true;
        }
        boolean isTurn =
                mItemProber.mayBeSent(entry, ItemProbes.REQUEST)
                        || (mHosts.isProberOf(suspect.label()) && nowMs >= entry.untilMs());
        return isTurn && mQuarantine.isFreeFor(suspect, requestId, nowMs);
    }

    /** Returns the time until an item that is held back may be a probe, milliseconds. */
    public long probeDueInMs(PromptQuarantine.Entry entry, PromptParts prompt) {
        return mItemProber.dueInMs(entry, prompt.itemId());
    }

    /**
     * Claims the right to send an item as a probe of the quarantines that hold it back, once that
     * is due for all of them.
     *
     * @param onClaimed runs when {@link #blocking} does not forbid the item any more
     */
    public void claimItemProbe(String service, PromptParts prompt, Runnable onClaimed) {
        mItemProber.claim(service, prompt, onClaimed);
    }

    /** Records that the run of an item at a target ended otherwise than by a lost target. */
    public void recordItemRunOver(String service, String target, PromptParts prompt) {
        mItemProber.recordRunOver(service, target, prompt);
    }

    /** Records that an item was sent to a target. */
    public void recordItemSent(String service, String target, PromptParts prompt) {
        mItemProber.recordSent(service, target, prompt);
    }

    /** Records that a target answered a request completely. */
    public void recordSuccess(String service, PromptParts prompt) {
        mSuspects.recordSuccess(service, prompt, mTicker.nanoTime());
        for (PromptQuarantine.Entry entry : mQuarantine.allBlocking(service, prompt)) {
            Suspect suspect = entry.suspect();
            boolean isProbe =
                    mQuarantine.isProbed(suspect) || mItemProber.wasProbe(suspect, prompt.itemId());
            if (isProbe) {
                lift(entry);
            }
        }
    }

    /**
     * Records that a target has answered an item for a while and goes on. If the item is a probe,
     * that lifts the quarantine, since a part that ends its targets does so as its answer begins;
     * one that came back after a lift has to be answered for longer.
     *
     * @param answeredNanos time since the first event
     */
    public void recordLongAnswer(String service, PromptParts prompt, long answeredNanos) {
        for (PromptQuarantine.Entry entry : mQuarantine.allBlocking(service, prompt)) {
            Suspect suspect = entry.suspect();
            long soundNanos =
                    mQuarantine.wasLifted(suspect) ? SOUND_AFTER_LIFT_NANOS : SOUND_ANSWER_NANOS;
            boolean isSound = answeredNanos >= soundNanos;
            if (isSound && mItemProber.wasProbe(suspect, prompt.itemId())) {
                lift(entry);
            }
        }
    }

    private void lift(PromptQuarantine.Entry entry) {
        mQuarantineStore.remove(entry);
        lift(entry.suspect());
    }

    /**
     * Records that this host preempted a run.
     *
     * @param answeredNanos time from its first event to its preemption; 0 when it had no event
     */
    public void recordPreemption(String service, PromptParts prompt, long answeredNanos) {
        mSuspects.recordPreemption(service, prompt, answeredNanos, mTicker.nanoTime());
    }

    /**
     * Records that a ready target closed the connection on which it ran a request.
     *
     * @param events number of events of the answer that had arrived
     */
    public void recordLostRun(LostTarget target, PromptParts prompt, long events) {
        mItemProber.recordLostRun(target, prompt);
        mDetector.recordLostRun(target, prompt, events);
    }

    private void onTargetEnd(TargetEnd end) {
        mEndCount++;
        mItemProber.recordEnd(end);
        for (TargetEnd.Run run : end.runs()) {
            PromptQuarantine.Entry prolonged =
                    mQuarantine.prolongAfterEnd(
                            end.service(), run.parts(), System.currentTimeMillis());
            if (prolonged != null) {
                PromptQuarantine.Entry failed =
                        prolonged.withFailedRequest(System.currentTimeMillis());
                add(failed);
                announce(failed, "prolonged");
            }
        }
        mSuspects.recordEnd(end, mTicker.nanoTime());
        mUnreportedEnds.add(end);
        scheduleReview();
    }

    private void scheduleReview() {
        mLastEvidenceAt = mTicker.nanoTime();
        if (!mReviewScheduled) {
            mReviewScheduled = true;
            mVertx.setTimer(REVIEW_INTERVAL_MS / 2, t -> review());
        }
    }

    private void review() {
        long now = mTicker.nanoTime();
        for (Suspect suspect : mSuspects.findCauses(now, mQuarantine::contains)) {
            PromptQuarantine.Entry entry =
                    mQuarantine.newEntry(suspect, System.currentTimeMillis());
            add(entry);
            announce(entry, "started");
        }
        sendEvidence();
        mReviewScheduled = now - mLastEvidenceAt < REVIEW_NANOS;
        if (mReviewScheduled) {
            mVertx.setTimer(REVIEW_INTERVAL_MS, t -> review());
        }
    }

    private boolean add(PromptQuarantine.Entry entry) {
        boolean added = mQuarantine.add(entry);
        if (added) {
            mItemProber.recordChange(entry.suspect());
        }
        return added;
    }

    private void announce(PromptQuarantine.Entry entry, String outcome) {
        Suspect suspect = entry.suspect();
        LOG.warn(
                "step=prompt-quarantine prompt={} service={} source=self until_ms={} ends={}"
                        + " answers={} outcome={}",
                suspect.label(),
                suspect.service(),
                entry.untilMs(),
                mSuspects.endsUnder(suspect),
                mSuspects.answersWith(suspect),
                outcome);
        mQuarantineStore.put(entry);
        tellPeers(entry);
    }

    private void tellPeers(PromptQuarantine.Entry entry) {
        mUnreportedEntries.add(entry);
        scheduleReview();
    }

    private void announceProbe(PromptQuarantine.Entry entry, boolean toStore) {
        add(entry);
        if (toStore) {
            mQuarantineStore.put(entry);
        }
        tellPeers(entry);
    }

    private void sendEvidence() {
        List<TargetEndReport> ends = new ArrayList<>();
        mUnreportedEnds.forEach(end -> ends.add(PromptMessages.encode(end)));
        mUnreportedEnds.clear();
        List<PromptSuccesses> successes = new ArrayList<>();
        mSuspects
                .successesToReport()
                .forEach(
                        (part, count) ->
                                successes.add(
                                        new PromptSuccesses(part.service(), part.label(), count)));
        List<PromptQuarantineEntry> entries = new ArrayList<>();
        mUnreportedEntries.forEach(entry -> entries.add(PromptMessages.encode(entry)));
        mUnreportedEntries.clear();
        if (ends.isEmpty() && successes.isEmpty() && entries.isEmpty()) {
            return;
        }
        PeerRequest message =
                PeerRequest.promptEvidence(
                        new PromptEvidence(mHosts.self(), ends, successes, entries));
        mHosts.peerAddresses().forEach((host, address) -> sendEvidence(host, address, message));
    }

    private void sendEvidence(String host, String address, PeerRequest message) {
        mPeerClient
                .call(address, message, SEND_TIMEOUT_MS)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=prompt-evidence peer={} outcome=lost cause={}",
                                        host,
                                        e.getMessage()));
    }

    /** Records the evidence of a peer. */
    public void recordEvidence(PromptEvidence evidence) {
        long now = mTicker.nanoTime();
        evidence.getEnds().forEach(end -> mSuspects.recordEnd(PromptMessages.decode(end), now));
        evidence.getSuccesses()
                .forEach(
                        success ->
                                mSuspects.recordPeerSuccesses(
                                        evidence.getHost(),
                                        success.getServiceName(),
                                        success.getPart(),
                                        success.getCount()));
        adoptAll(evidence.getQuarantine());
        scheduleReview();
    }

    /** Adopts what a peer holds in quarantine. */
    public void adoptAll(List<PromptQuarantineEntry> entries) {
        entries.forEach(entry -> adopt(PromptMessages.decode(entry), "peer"));
    }

    /** Returns what this host holds in quarantine, for its reports to peers. */
    public List<PromptQuarantineEntry> entriesForReport() {
        return mQuarantine.entries().stream().map(PromptMessages::encode).toList();
    }

    /** Adopts what the store holds; a host of an older version may have held an item back by id. */
    private void onStored(PromptQuarantine.Entry entry) {
        if (entry.suspect().isSingleItem()) {
            mQuarantineStore.removeLater(entry);
        } else {
            adopt(entry, "store");
        }
    }

    private void adopt(PromptQuarantine.Entry entry, String source) {
        boolean known = mQuarantine.contains(entry.suspect());
        if (add(entry) && !known) {
            LOG.warn(
                    "step=prompt-quarantine prompt={} service={} source={} until_ms={}"
                            + " outcome=started",
                    entry.suspect().label(),
                    entry.suspect().service(),
                    source,
                    entry.untilMs());
            mQuarantineStore.putLater(entry);
        }
    }

    private void lift(Suspect suspect) {
        if (mQuarantine.lift(suspect)) {
            mItemProber.recordChange(suspect);
            mSuspects.recordSound(suspect, mTicker.nanoTime());
            LOG.warn(
                    "step=prompt-quarantine prompt={} service={} outcome=lifted",
                    suspect.label(),
                    suspect.service());
        }
    }

    /** Returns the number of quarantines in force. */
    public int quarantineCount() {
        return mQuarantine.size();
    }

    /** Returns how many ends of targets under requests this host has seen. */
    public long endCount() {
        return mEndCount;
    }

    @Override
    public void close() {
        mDetector.close();
    }
}
