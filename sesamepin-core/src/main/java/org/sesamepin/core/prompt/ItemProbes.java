package org.sesamepin.core.prompt;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Decides when an item of a job may be sent although a part of its prompt is in quarantine, as this
 * host sees it. Items are owed until their job ends, so a quarantine never holds them back for
 * longer than {@link PromptQuarantine#MAX_ITEM_WAIT_MS} before one of them is sent as a probe. Each
 * host that has such an item may claim the next probe, for all hosts. Not thread-safe.
 */
public final class ItemProbes {
    /** The number of claims of a quarantine, and when this host learned of the last one. */
    private record Seen(int claims, long atNanos) {}

    private final Map<Suspect, Seen> mSeen = new HashMap<>();

    /** The items of this host that were sent as probes, with the numbers of their claims. */
    private final Map<Suspect, Map<String, Integer>> mProbes = new HashMap<>();

    /** Records an entry in force, whichever host claimed its last probe. */
    public void recordEntry(PromptQuarantine.Entry entry, long nowNanos) {
        Seen seen = mSeen.get(entry.suspect());
        if (seen == null || seen.claims() != entry.itemClaims()) {
            mSeen.put(entry.suspect(), new Seen(entry.itemClaims(), nowNanos));
        }
    }

    /**
     * Returns whether the next probe may be claimed. The time since this host learned of the last
     * claim counts as well, since the clock of the host that claimed it may be ahead.
     */
    public boolean isDue(PromptQuarantine.Entry entry, long nowMs, long nowNanos) {
        Seen seen = mSeen.get(entry.suspect());
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(entry.itemWaitMs());
        boolean waited = seen != null && nowNanos - seen.atNanos() >= waitNanos;
        return waited || nowMs >= entry.nextItemProbeMs();
    }

    /** Records that this host has claimed the probe of {@code entry} for an item. */
    public void start(PromptQuarantine.Entry entry, String itemId) {
        mProbes.computeIfAbsent(entry.suspect(), s -> new HashMap<>())
                .put(itemId, entry.itemClaims());
    }

    /** Returns whether an item may be sent as the probe of {@code entry}. */
    public boolean isProbe(PromptQuarantine.Entry entry, String itemId) {
        Integer claims = mProbes.getOrDefault(entry.suspect(), Map.of()).get(itemId);
        return claims != null && claims == entry.itemClaims();
    }

    /** Returns whether an item was sent as a probe of a quarantine, the last one or one before. */
    public boolean wasProbe(Suspect suspect, String itemId) {
        return mProbes.getOrDefault(suspect, Map.of()).containsKey(itemId);
    }

    /** Ends the probe with an item whose target was lost. */
    public void end(Suspect suspect, String itemId) {
        Map<String, Integer> probes = mProbes.get(suspect);
        if (probes != null) {
            probes.remove(itemId);
        }
    }

    /** Drops what is known of quarantines that are not in force. */
    public void retain(Predicate<Suspect> isInForce) {
        mSeen.keySet().removeIf(isInForce.negate());
        mProbes.keySet().removeIf(isInForce.negate());
    }
}
