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
    /** Additional wait of an item for each target that was lost under it when it was the probe. */
    private static final long LOST_PROBE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Number of lost targets from which on the additional wait of an item stays the same. */
    private static final int MAX_LOST_PROBES = 5;

    /** The number of claims of a quarantine, and when this host may claim the next probe. */
    private record Seen(int claims, long dueNanos) {}

    private final Map<Suspect, Seen> mSeen = new HashMap<>();

    /** The items of this host that were sent as probes, with the numbers of their claims. */
    private final Map<Suspect, Map<String, Integer>> mProbes = new HashMap<>();

    /** How many targets were lost under the items of this host that were sent as probes. */
    private final Map<Suspect, Map<String, Integer>> mLostProbes = new HashMap<>();

    /**
     * Records an entry in force, whichever host claimed its last probe. The next one is due a while
     * after this host learned of that claim, by its own ticker, since the clocks of hosts differ.
     * Only for an entry that is new to this host it takes the time of the entry, within bounds.
     */
    public void recordEntry(PromptQuarantine.Entry entry, long nowMs, long nowNanos) {
        Seen seen = mSeen.get(entry.suspect());
        if (seen != null && seen.claims() == entry.itemClaims()) {
            return;
        }
        long waitMs = seen == null ? entry.remainingItemWaitMs(nowMs) : entry.itemWaitMs();
        long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMs);
        mSeen.put(entry.suspect(), new Seen(entry.itemClaims(), dueNanos));
    }

    /**
     * Returns whether the next probe may be claimed for an item. One under which targets were lost
     * leaves the first claim to others, since its own content may be what ends them.
     */
    public boolean isDue(PromptQuarantine.Entry entry, String itemId, long nowNanos) {
        Seen seen = mSeen.get(entry.suspect());
        return seen != null && nowNanos - seen.dueNanos() >= lostWaitNanos(entry.suspect(), itemId);
    }

    private long lostWaitNanos(Suspect suspect, String itemId) {
        int lost = mLostProbes.getOrDefault(suspect, Map.of()).getOrDefault(itemId, 0);
        return Math.min(MAX_LOST_PROBES, lost) * LOST_PROBE_WAIT_NANOS;
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
        if (probes != null && probes.remove(itemId) != null) {
            mLostProbes
                    .computeIfAbsent(suspect, s -> new HashMap<>())
                    .merge(itemId, 1, Integer::sum);
        }
    }

    /** Drops what is known of quarantines that are not in force. */
    public void retain(Predicate<Suspect> isInForce) {
        mSeen.keySet().removeIf(isInForce.negate());
        mProbes.keySet().removeIf(isInForce.negate());
        mLostProbes.keySet().removeIf(isInForce.negate());
    }
}
