package org.sesamepin.node.prompt;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.prompt.ItemProbes;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.PromptSuspects;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.core.prompt.TargetEnd;
import org.sesamepin.core.time.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends items that a quarantine holds back as probes. A probe is claimed in the store, so that the
 * fleet sends one at a time. It has failed when its target ended and no other target did without
 * one of the suspected parts; a probe whose host told no outcome is judged by the next claimer.
 * Probes with requests of callers are claimed here, and judged by {@link PromptGuard}. Confined to
 * the event loop.
 */
final class ItemProber {
    private static final Logger LOG = LoggerFactory.getLogger(ItemProber.class);

    /** Time after the end of a probe's target in which peers report the ends of others. */
    private static final long JUDGEMENT_MS = 250;

    /** Time after a claim that the store did not take; its watch brings what is newer. */
    private static final long CLAIM_RETRY_MS = 1_000;

    /** Ends of targets within this time of each other may have one cause. */
    private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time since the last claim in which the end of another target may explain a lost probe. */
    private static final long UNKNOWN_OUTCOME_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Tells other hosts what became of a probe. */
    interface Announcer {
        /** Adopts a changed entry and tells the peers, and the store if it is to keep it. */
        void announce(PromptQuarantine.Entry entry, boolean toStore);
    }

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final PromptQuarantine mQuarantine;
    private final PromptSuspects mSuspects;
    private final PromptQuarantineStore mStore;
    private final ServiceTargets mTargets;
    private final OutageCheck mOutageCheck;
    private final Announcer mAnnouncer;
    private final ItemProbes mProbes = new ItemProbes();
    private final Set<Suspect> mClaiming = new HashSet<>();

    ItemProber(
            Vertx vertx,
            Ticker ticker,
            PromptQuarantine quarantine,
            PromptSuspects suspects,
            PromptQuarantineStore store,
            ServiceTargets targets,
            OutageCheck outageCheck,
            Announcer announcer) {
        mVertx = vertx;
        mTicker = ticker;
        mQuarantine = quarantine;
        mSuspects = suspects;
        mStore = store;
        mTargets = targets;
        mOutageCheck = outageCheck;
        mAnnouncer = announcer;
    }

    /** Records that the entry of a suspect has changed, or is gone. */
    void recordChange(Suspect suspect) {
        mProbes.retain(mQuarantine::contains);
        PromptQuarantine.Entry entry = mQuarantine.get(suspect);
        if (entry != null) {
            mProbes.recordEntry(entry, System.currentTimeMillis(), mTicker.nanoTime());
        }
    }

    /** Returns whether an item may be sent now as the probe of {@code entry}. */
    boolean mayBeSent(PromptQuarantine.Entry entry, String itemId) {
        return mProbes.mayBeSent(entry, itemId, mTicker.nanoTime());
    }

    /** Returns whether an item was claimed as a probe of {@code suspect}. */
    boolean wasProbe(Suspect suspect, String itemId) {
        return mProbes.wasProbe(suspect, itemId);
    }

    /** Returns the time until an item may be claimed as a probe of {@code entry}, milliseconds. */
    long dueInMs(PromptQuarantine.Entry entry, String itemId) {
        return mProbes.dueInMs(entry, itemId, mTicker.nanoTime());
    }

    /**
     * Claims the right to send an item as a probe of the quarantines that hold it back, once that
     * is due for all of them.
     *
     * @param onClaimed runs when the item may be sent
     */
    void claim(String service, PromptParts prompt, Runnable onClaimed) {
        String itemId = prompt.itemId();
        List<PromptQuarantine.Entry> toClaim = new ArrayList<>();
        List<PromptQuarantine.Entry> holding = mQuarantine.allBlocking(service, prompt);
        for (PromptQuarantine.Entry entry : holding) {
            if (mayBeSent(entry, itemId)) {
                continue;
            }
            if (!isClaimable(entry, itemId, holding.size() > 1)) {
                return;
            }
            toClaim.add(entry);
        }
        toClaim.forEach(entry -> claimUnlessFailed(entry, service, prompt, onClaimed));
    }

    private boolean isClaimable(
            PromptQuarantine.Entry entry, String itemId, boolean heldBySeveral) {
        return mProbes.isDue(entry, itemId, heldBySeveral, mTicker.nanoTime())
                && !mClaiming.contains(entry.suspect());
    }

    /**
     * Claims a probe, unless the last one is found to have failed: its host has told no outcome, as
     * it may have ended as well, and its target is gone.
     */
    private void claimUnlessFailed(
            PromptQuarantine.Entry entry, String service, PromptParts prompt, Runnable onClaimed) {
        mClaiming.add(entry.suspect());
        hasFailedUnreported(entry)
                .onComplete(
                        failed -> {
                            mClaiming.remove(entry.suspect());
                            if (!mQuarantine.isInForce(entry)) {
                                return;
                            }
                            if (failed.succeeded() && failed.result()) {
                                recordFailure(
                                        entry, entry.probeTarget(), "outcome unknown, target gone");
                            } else {
                                claim(entry, service, prompt, onClaimed);
                            }
                        });
    }

    private Future<Boolean> hasFailedUnreported(PromptQuarantine.Entry entry) {
        String service = entry.suspect().service();
        return isProbeTargetGone(entry)
                .compose(
                        gone ->
                                gone && otherEnds(service, UNKNOWN_OUTCOME_NANOS).isEmpty()
                                        ? hasOutage(service, UNKNOWN_OUTCOME_NANOS).map(o -> !o)
                                        : Future.succeededFuture(false));
    }

    private Future<Boolean> isProbeTargetGone(PromptQuarantine.Entry entry) {
        long now = mTicker.nanoTime();
        boolean isRecent = mProbes.wasClaimedWithin(entry.suspect(), UNKNOWN_OUTCOME_NANOS, now);
        if (!entry.isProbeOpen() || !isRecent) {
            return Future.succeededFuture(false);
        }
        LostTarget target = mTargets.find(entry.probeTarget());
        return target == null ? Future.succeededFuture(true) : mOutageCheck.hasEnded(target);
    }

    private void claim(
            PromptQuarantine.Entry entry, String service, PromptParts prompt, Runnable onClaimed) {
        Suspect suspect = entry.suspect();
        PromptQuarantine.Entry claimed = entry.withClaim(System.currentTimeMillis());
        long claimedAt = mTicker.nanoTime();
        mClaiming.add(suspect);
        mStore.claim(claimed)
                .onComplete(
                        done -> {
                            boolean owned = done.succeeded() && done.result();
                            endClaiming(suspect, owned ? 0 : CLAIM_RETRY_MS);
                            if (owned) {
                                mAnnouncer.announce(claimed, false);
                            }
                            // The store's watch may have brought a lift or a later claim before.
                            if (owned && mQuarantine.isInForce(claimed)) {
                                mQuarantine.endProbe(suspect);
                                mProbes.start(claimed, prompt.itemId(), claimedAt);
                            }
                            String outcome = done.failed() ? "unknown" : "conflict";
                            log(claimed, prompt.itemId(), "", owned ? "claimed" : outcome, "");
                            if (owned && !isHeld(service, prompt)) {
                                onClaimed.run();
                            }
                        });
    }

    private void endClaiming(Suspect suspect, long afterMs) {
        if (afterMs == 0) {
            mClaiming.remove(suspect);
        } else {
            mVertx.setTimer(afterMs, t -> mClaiming.remove(suspect));
        }
    }

    private boolean isHeld(String service, PromptParts prompt) {
        return !mQuarantine.allBlocking(service, prompt).stream()
                .allMatch(entry -> mayBeSent(entry, prompt.itemId()));
    }

    /** Records that an item was sent to a target; if it is a probe, the peers learn where it is. */
    void recordSent(String service, String target, PromptParts prompt) {
        String itemId = prompt.itemId();
        for (PromptQuarantine.Entry entry : mQuarantine.allBlocking(service, prompt)) {
            if (mayBeSent(entry, itemId)) {
                PromptQuarantine.Entry sent = entry.withProbeSentTo(target);
                mAnnouncer.announce(sent, false);
                log(sent, itemId, target, "sent", "");
            }
        }
    }

    /** Records that a run ended otherwise; if it was a probe that told nothing, it is over. */
    void recordRunOver(String service, String target, PromptParts prompt) {
        for (PromptQuarantine.Entry entry : mQuarantine.allBlocking(service, prompt)) {
            boolean isProbe = mProbes.wasProbe(entry.suspect(), prompt.itemId());
            if (isProbe && entry.probeTarget().equals(target)) {
                mAnnouncer.announce(entry.withProbeOver(), false);
                log(entry, prompt.itemId(), target, "over", "the run ended without a verdict");
            }
        }
    }

    /** Records that the target of an item was lost; if it is a probe, it is over. */
    void recordLostRun(LostTarget target, PromptParts prompt) {
        for (PromptQuarantine.Entry entry : mQuarantine.allBlocking(target.service(), prompt)) {
            if (mProbes.end(entry.suspect(), prompt.itemId())) {
                log(entry, prompt.itemId(), target.id(), "lost", "");
            }
        }
    }

    /** Records that a target ended; judges later what that says of the items probed there. */
    void recordEnd(TargetEnd end) {
        Set<Suspect> probed = new HashSet<>();
        for (TargetEnd.Run run : end.runs()) {
            String itemId = run.parts().itemId();
            mQuarantine.allBlocking(end.service(), run.parts()).stream()
                    .map(PromptQuarantine.Entry::suspect)
                    .filter(suspect -> isLostProbe(suspect, itemId))
                    .forEach(probed::add);
        }
        if (!probed.isEmpty()) {
            mVertx.setTimer(JUDGEMENT_MS, t -> judge(end, probed));
        }
    }

    private boolean isLostProbe(Suspect suspect, String itemId) {
        return !itemId.equals(ItemProbes.REQUEST) && mProbes.wasLost(suspect, itemId);
    }

    private void judge(TargetEnd end, Set<Suspect> probed) {
        String service = end.service();
        if (!otherEnds(service, OUTAGE_NANOS).isEmpty()) {
            conclude(probed, end.target(), true);
            return;
        }
        hasOutage(service, OUTAGE_NANOS)
                .onSuccess(outage -> conclude(probed, end.target(), outage));
    }

    /** Returns whether targets have ended, other than those that ended under suspects. */
    private Future<Boolean> hasOutage(String service, long withinNanos) {
        long since = mTicker.nanoTime() - withinNanos;
        Set<String> explained = mSuspects.endedTargets(service, since, this::hasSuspect);
        List<LostTarget> others =
                mTargets.readyTargets(service).stream()
                        .filter(target -> !explained.contains(target.id()))
                        .toList();
        return mOutageCheck.anyEnded(others);
    }

    /** Returns the targets that ended lately under nothing that is in quarantine. */
    private Set<String> otherEnds(String service, long withinNanos) {
        long since = mTicker.nanoTime() - withinNanos;
        return mSuspects.endedTargets(service, since, end -> !hasSuspect(end));
    }

    private boolean hasSuspect(TargetEnd end) {
        return end.runs().stream()
                .anyMatch(run -> !mQuarantine.allBlocking(end.service(), run.parts()).isEmpty());
    }

    private void conclude(Set<Suspect> probed, String target, boolean outage) {
        for (Suspect suspect : probed) {
            PromptQuarantine.Entry entry = mQuarantine.get(suspect);
            // Another host may have judged the probe, or claimed a later one.
            boolean isOfProbe = entry != null && entry.probeTarget().equals(target);
            if (entry == null || !isOfProbe) {
                continue;
            }
            if (outage) {
                log(entry, "-", target, "void", "other targets ended too");
                mAnnouncer.announce(entry.withProbeOver(), false);
            } else {
                recordFailure(entry, target, "no other target ended");
            }
        }
    }

    private void recordFailure(PromptQuarantine.Entry entry, String target, String cause) {
        PromptQuarantine.Entry failed = entry.withFailedProbe(System.currentTimeMillis());
        mAnnouncer.announce(failed, true);
        log(failed, "-", target, "failed", cause);
    }

    private static void log(
            PromptQuarantine.Entry entry,
            String itemId,
            String target,
            String outcome,
            String cause) {
        LOG.info(
                "step=prompt-probe prompt={} service={} item={} target={} claims={} failures={}"
                        + " next_ms={} outcome={} cause=\"{}\"",
                entry.suspect().label(),
                entry.suspect().service(),
                itemId,
                target.isEmpty() ? "-" : target,
                entry.probeClaims(),
                entry.failedProbes(),
                entry.nextProbeMs(),
                outcome,
                cause);
    }
}
