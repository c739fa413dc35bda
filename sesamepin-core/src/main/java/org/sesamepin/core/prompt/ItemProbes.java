package org.sesamepin.core.prompt;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides when an item of a job may be sent although a part of its prompt, or the item itself, is
 * in quarantine, as this host sees it. Each host that has such an item may claim the next probe for
 * all hosts, as soon as {@link ProbeSchedule} allows. Requests of callers are probes as well, later
 * than items; {@link #REQUEST} stands for their ids. Not thread-safe.
 */
public final class ItemProbes {
    /**
     * Additional wait of an item under which a target was lost when it was a probe, since its own
     * content may be what ends them. Other items are looked at once a second.
     */
    private static final long LOST_PROBE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Additional wait of an item that several quarantines hold back. If its target ends, all of
     * them have failed, so items of one of them are tried before.
     */
    private static final long SEVERAL_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Stands for the id of the next request of a caller. */
    public static final String REQUEST = "";

    /** Time after its claim in which a probe has to be sent, so that its outcome is known soon. */
    private static final long MAX_SEND_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * The last claim and failure of a quarantine, and when the next probe may be claimed.
     *
     * @param claimedNanos when this host learned of the last claim; null if it was not there then
     */
    private record Seen(int claims, int failures, @Nullable Long claimedNanos, long dueNanos) {}

    /** A claim of this host. */
    private record Claim(int number, long atNanos) {}

    private final Map<Suspect, Seen> mSeen = new HashMap<>();

    /** The items of this host that were claimed as probes, with their last claims. */
    private final Map<Suspect, Map<String, Claim>> mClaims = new HashMap<>();

    /** The items of this host under which a target was lost when they were probes. */
    private final Map<Suspect, Set<String>> mLostProbes = new HashMap<>();

    /**
     * Records an entry in force, whichever host wrote it. The next probe is due a while after this
     * host learned of the last claim or failure, by its own ticker, since the clocks of hosts
     * differ. Only for an entry that is new to this host it takes the entry's time, within bounds.
     */
    public void recordEntry(PromptQuarantine.Entry entry, long nowMs, long nowNanos) {
        Seen seen = mSeen.get(entry.suspect());
        boolean isKnown =
                seen != null
                        && seen.claims() == entry.probeClaims()
                        && seen.failures() == entry.failedProbes();
        if (isKnown) {
            return;
        }
        Long claimedNanos = seen == null ? null : seen.claimedNanos();
        if (seen != null && entry.probeClaims() > seen.claims()) {
            claimedNanos = nowNanos;
        }
        boolean failed = seen != null && entry.failedProbes() > seen.failures();
        // A failure may be found late; items have waited since the claim.
        long sinceNanos = failed && claimedNanos != null ? claimedNanos : nowNanos;
        long waitMs = waitMs(seen, entry, nowMs);
        long dueNanos = sinceNanos + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Seen updated = new Seen(entry.probeClaims(), entry.failedProbes(), claimedNanos, dueNanos);
        mSeen.put(entry.suspect(), updated);
    }

    /** Returns whether this host has learned of the last claim within a time. */
    public boolean wasClaimedWithin(Suspect suspect, long withinNanos, long nowNanos) {
        Seen seen = mSeen.get(suspect);
        return seen != null
                && seen.claimedNanos() != null
                && nowNanos - seen.claimedNanos() <= withinNanos;
    }

    private static long waitMs(@Nullable Seen seen, PromptQuarantine.Entry entry, long nowMs) {
        int failures = entry.failedProbes();
        if (seen == null) {
            return ProbeSchedule.remainingMs(failures, entry.nextProbeMs() - nowMs);
        }
        return failures > seen.failures()
                ? ProbeSchedule.waitAfterFailuresMs(failures)
                : ProbeSchedule.OUTCOME_MS;
    }

    /**
     * Returns whether the next probe may be claimed for an item.
     *
     * @param heldBySeveral whether other quarantines hold the item back too
     */
    public boolean isDue(
            PromptQuarantine.Entry entry, String itemId, boolean heldBySeveral, long nowNanos) {
        long severalWaitNanos = heldBySeveral ? SEVERAL_WAIT_NANOS : 0;
        return isDue(entry, itemId, nowNanos - severalWaitNanos);
    }

    /** Returns whether the next probe may be claimed for an item that no other one holds back. */
    public boolean isDue(PromptQuarantine.Entry entry, String itemId, long nowNanos) {
        return mSeen.containsKey(entry.suspect()) && dueInNanos(entry, itemId, nowNanos) <= 0;
    }

    /** Returns the time until the next probe may be claimed for an item; 0 when it may be now. */
    public long dueInMs(PromptQuarantine.Entry entry, String itemId, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, dueInNanos(entry, itemId, nowNanos)));
    }

    private long dueInNanos(PromptQuarantine.Entry entry, String itemId, long nowNanos) {
        Seen seen = mSeen.get(entry.suspect());
        if (seen == null) {
            return 0;
        }
        return seen.dueNanos() - nowNanos + additionalWaitNanos(entry, itemId);
    }

    private long additionalWaitNanos(PromptQuarantine.Entry entry, String itemId) {
        if (!itemId.equals(REQUEST)) {
            return wasLost(entry.suspect(), itemId) ? LOST_PROBE_WAIT_NANOS : 0;
        }
        return TimeUnit.MILLISECONDS.toNanos(ProbeSchedule.requestWaitMs(entry.failedProbes()));
    }

    /** Records that this host has claimed the probe of {@code entry} for an item. */
    public void start(PromptQuarantine.Entry entry, String itemId, long nowNanos) {
        mClaims.computeIfAbsent(entry.suspect(), s -> new HashMap<>())
                .put(itemId, new Claim(entry.probeClaims(), nowNanos));
    }

    /** Returns whether an item may be sent now as the probe of {@code entry}. */
    public boolean mayBeSent(PromptQuarantine.Entry entry, String itemId, long nowNanos) {
        Claim claim = mClaims.getOrDefault(entry.suspect(), Map.of()).get(itemId);
        return claim != null
                && claim.number() == entry.probeClaims()
                && nowNanos - claim.atNanos() <= MAX_SEND_DELAY_NANOS;
    }

    /**
     * Returns whether an item was claimed as a probe of a quarantine, the last one or one before.
     */
    public boolean wasProbe(Suspect suspect, String itemId) {
        return mClaims.getOrDefault(suspect, Map.of()).containsKey(itemId);
    }

    /**
     * Ends the probe with an item whose target was lost.
     *
     * @return whether the item was a probe
     */
    public boolean end(Suspect suspect, String itemId) {
        Map<String, Claim> claims = mClaims.get(suspect);
        if (claims == null || claims.remove(itemId) == null) {
            return false;
        }
        mLostProbes.computeIfAbsent(suspect, s -> new HashSet<>()).add(itemId);
        return true;
    }

    /** Returns whether a target was lost under an item when it was a probe. */
    public boolean wasLost(Suspect suspect, String itemId) {
        return mLostProbes.getOrDefault(suspect, Set.of()).contains(itemId);
    }

    /** Drops what is known of quarantines that are not in force. */
    public void retain(Predicate<Suspect> isInForce) {
        mSeen.keySet().removeIf(isInForce.negate());
        mClaims.keySet().removeIf(isInForce.negate());
        mLostProbes.keySet().removeIf(isInForce.negate());
    }
}
