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
 * one of the suspected parts; otherwise it says nothing. Confined to the event loop.
 */
final class ItemProber {
    private static final Logger LOG = LoggerFactory.getLogger(ItemProber.class);

    /** Time after the end of a probe's target in which peers report the ends of others. */
    private static final long JUDGEMENT_MS = 250;

    /** Ends of targets within this time of each other may have one cause. */
    private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time since the last claim in which the end of another target may explain a lost probe. */
    private static final long UNTOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

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
        for (PromptQuarantine.Entry entry : mQuarantine.allBlocking(service, prompt)) {
            if (mayBeSent(entry, itemId)) {
                continue;
            }
            if (!isClaimable(entry, itemId)) {
                return;
            }
            toClaim.add(entry);
        }
        toClaim.forEach(entry -> claimUnlessFailed(entry, service, prompt, onClaimed));
    }

    private boolean isClaimable(PromptQuarantine.Entry entry, String itemId) {
        return mProbes.isDue(entry, itemId, mTicker.nanoTime())
                && !mClaiming.contains(entry.suspect());
    }

    /**
     * Claims a probe, unless the last one is found to have failed: its host has told no outcome, as
     * it may have ended as well, and its target is gone.
     */
    private void claimUnlessFailed(
            PromptQuarantine.Entry entry, String service, PromptParts prompt, Runnable onClaimed) {
        mClaiming.add(entry.suspect());
        isProbeTargetGone(entry)
                .onComplete(
                        gone -> {
                            mClaiming.remove(entry.suspect());
                            boolean isFailed =
                                    gone.succeeded()
                                            && gone.result()
                                            && otherEnds(service, UNTOLD_NANOS).isEmpty();
                            if (!mQuarantine.isInForce(entry)) {
                                return;
                            }
                            if (isFailed) {
                                fail(entry, entry.probeTarget(), "outcome unknown, target gone");
                            } else {
                                claim(entry, service, prompt, onClaimed);
                            }
                        });
    }

    private Future<Boolean> isProbeTargetGone(PromptQuarantine.Entry entry) {
        long now = mTicker.nanoTime();
        boolean isRecent = mProbes.wasClaimedWithin(entry.suspect(), UNTOLD_NANOS, now);
        if (!entry.isProbeOpen() || !isRecent) {
            return Future.succeededFuture(false);
        }
        LostTarget target = mTargets.find(entry.probeTarget());
        return target == null ? Future.succeededFuture(true) : mOutageCheck.isRefusing(target);
    }

    private void claim(
            PromptQuarantine.Entry entry, String service, PromptParts prompt, Runnable onClaimed) {
        Suspect suspect = entry.suspect();
        PromptQuarantine.Entry claimed = entry.withItemClaim(System.currentTimeMillis());
        mClaiming.add(suspect);
        mStore.claim(claimed)
                .onComplete(
                        done -> {
                            mClaiming.remove(suspect);
                            boolean owned = done.succeeded() && done.result();
                            if (owned) {
                                mAnnouncer.announce(claimed, false);
                            }
                            // The store's watch may have brought a lift or a later claim before.
                            if (owned && mQuarantine.isInForce(claimed)) {
                                mQuarantine.endProbe(suspect);
                                mProbes.start(claimed, prompt.itemId(), mTicker.nanoTime());
                            }
                            String outcome = done.failed() ? "unknown" : "conflict";
                            log(claimed, prompt.itemId(), "", owned ? "claimed" : outcome, "");
                            if (owned && !isHeld(service, prompt)) {
                                onClaimed.run();
                            }
                        });
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
        long since = mTicker.nanoTime() - OUTAGE_NANOS;
        Set<String> explained = mSuspects.endedTargets(service, since, this::hasSuspect);
        List<LostTarget> others =
                mTargets.readyTargets(service).stream()
                        .filter(target -> !explained.contains(target.id()))
                        .toList();
        mOutageCheck.anyEnded(others).onSuccess(outage -> conclude(probed, end.target(), outage));
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
            if (entry != null && outage) {
                log(entry, "-", target, "void", "other targets ended too");
                if (entry.probeTarget().equals(target)) {
                    mAnnouncer.announce(entry.withProbeOver(), false);
                }
            } else if (entry != null) {
                fail(entry, target, "no other target ended");
            }
        }
    }

    private void fail(PromptQuarantine.Entry entry, String target, String cause) {
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
                entry.itemClaims(),
                entry.failedProbes(),
                entry.nextItemProbeMs(),
                outcome,
                cause);
    }
}
