package org.sesamepin.core.prompt;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The parts of prompts that are not sent to targets, since targets ended under them. After a while
 * one host sends a single request as a probe: when it is answered whole the quarantine is lifted,
 * else it goes on for twice the time. Not thread-safe.
 */
public final class PromptQuarantine {
    private static final long FIRST_DURATION_MS = TimeUnit.MINUTES.toMillis(10);

    /**
     * First duration for a single item of a job. An item that met the ends of several targets by
     * chance has to be done before its job is due; one that is the cause ends few further targets,
     * since the duration doubles with each.
     */
    private static final long FIRST_ITEM_DURATION_MS = TimeUnit.SECONDS.toMillis(4);

    private static final long MAX_DURATION_MS = TimeUnit.HOURS.toMillis(24);

    /** Longest time for which a quarantine holds items back before one is sent as a probe. */
    public static final long MAX_ITEM_WAIT_MS = TimeUnit.SECONDS.toMillis(64);

    /** Time until the first probe with an item. */
    private static final long FIRST_ITEM_WAIT_MS = TimeUnit.SECONDS.toMillis(5);

    /** Growth of the time between two probes with items. */
    private static final double ITEM_WAIT_FACTOR = 2.5;

    /** Time in which a probe is answered or has failed. */
    private static final long PROBE_MS = TimeUnit.SECONDS.toMillis(30);

    private static final int MAX_ENTRIES = 64;

    /**
     * A quarantine in force.
     *
     * @param suspect the parts
     * @param sinceMs when it began, milliseconds since the Unix epoch
     * @param untilMs when a probe may be sent, milliseconds since the Unix epoch
     * @param itemClaims number of probes with items that hosts have claimed
     * @param nextItemProbeMs when the next one may be claimed, milliseconds since the Unix epoch
     */
    public record Entry(
            Suspect suspect, long sinceMs, long untilMs, int itemClaims, long nextItemProbeMs) {
        /** Creates an entry of which no probe with an item was claimed. */
        public Entry(Suspect suspect, long sinceMs, long untilMs) {
            this(suspect, sinceMs, untilMs, 0, sinceMs + FIRST_ITEM_WAIT_MS);
        }

        /** Returns the entry of a suspect that was identified now. */
        public static Entry startingAt(Suspect suspect, long nowMs) {
            long durationMs = suspect.isSingleItem() ? FIRST_ITEM_DURATION_MS : FIRST_DURATION_MS;
            return new Entry(suspect, nowMs, nowMs + durationMs);
        }

        /**
         * Returns when an item that is held back may be sent, milliseconds since the Unix epoch.
         */
        public long itemHeldUntilMs() {
            return suspect.isSingleItem() ? untilMs : nextItemProbeMs;
        }

        /** Returns the entry after a probe that ended another target. */
        Entry prolonged(long nowMs) {
            long maxMs = suspect.isSingleItem() ? MAX_ITEM_WAIT_MS : MAX_DURATION_MS;
            long durationMs = Math.min(maxMs, 2 * (untilMs - sinceMs));
            return new Entry(suspect, nowMs, nowMs + durationMs, itemClaims, nextItemProbeMs);
        }

        /** Returns the entry after the next probe with an item was claimed. */
        public Entry withItemClaim(long nowMs) {
            Entry claimed = new Entry(suspect, sinceMs, untilMs, itemClaims + 1, 0);
            long nextMs = nowMs + claimed.itemWaitMs();
            return new Entry(suspect, sinceMs, untilMs, claimed.itemClaims(), nextMs);
        }

        /** Returns the time from the last claim of a probe with an item to the next. */
        long itemWaitMs() {
            double waitMs = FIRST_ITEM_WAIT_MS * Math.pow(ITEM_WAIT_FACTOR, itemClaims);
            return (long) Math.min(MAX_ITEM_WAIT_MS, waitMs);
        }

        /**
         * Returns the time until the next probe may be claimed, for a host that does not know when
         * the last one was. As clocks differ, it is never less than that until the first probe.
         */
        long remainingItemWaitMs(long nowMs) {
            long remainingMs = Math.min(itemWaitMs(), nextItemProbeMs - nowMs);
            return Math.max(FIRST_ITEM_WAIT_MS, remainingMs);
        }

        /**
         * Returns what two entries of the same parts say together, in whichever order they came:
         * the times of the newer one, and the claims of the one with more of them.
         */
        public Entry mergedWith(Entry other) {
            Entry newer = sinceMs >= other.sinceMs ? this : other;
            boolean hasMoreClaims =
                    itemClaims == other.itemClaims
                            ? nextItemProbeMs >= other.nextItemProbeMs
                            : itemClaims > other.itemClaims;
            Entry claimed = hasMoreClaims ? this : other;
            return new Entry(
                    suspect,
                    newer.sinceMs,
                    newer.untilMs,
                    claimed.itemClaims,
                    claimed.nextItemProbeMs);
        }
    }

    private final Map<Suspect, Entry> mEntries = new LinkedHashMap<>();

    private record Probe(String requestId, long sentAtMs) {}

    private final Map<Suspect, Probe> mProbes = new LinkedHashMap<>();
    private final Map<Suspect, Long> mLiftedSinceMs = new LinkedHashMap<>();

    /**
     * Adds an entry, or what it says beyond the present one of the same parts. An entry that was
     * lifted is not added again.
     *
     * @return whether it said anything new
     */
    public boolean add(Entry entry) {
        long lifted = mLiftedSinceMs.getOrDefault(entry.suspect(), Long.MIN_VALUE);
        if (lifted >= entry.sinceMs()) {
            return false;
        }
        Entry present = mEntries.get(entry.suspect());
        Entry merged = present == null ? entry : entry.mergedWith(present);
        if (merged.equals(present)) {
            return false;
        }
        mEntries.put(entry.suspect(), merged);
        dropOldest(mEntries);
        return true;
    }

    private static void dropOldest(Map<Suspect, ?> map) {
        if (map.size() > MAX_ENTRIES) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /**
     * Returns the entry of a suspect that was identified now. It is newer than a lifted one, and
     * its first probe with an item takes longer to come than that one's.
     */
    public Entry newEntry(Suspect suspect, long nowMs) {
        Long lifted = mLiftedSinceMs.get(suspect);
        if (lifted == null) {
            return Entry.startingAt(suspect, nowMs);
        }
        long sinceMs = Math.max(nowMs, lifted + 1);
        return Entry.startingAt(suspect, sinceMs).withItemClaim(sinceMs);
    }

    /** Returns whether a quarantine of {@code suspect} was lifted before, as far as remembered. */
    public boolean wasLifted(Suspect suspect) {
        return mLiftedSinceMs.containsKey(suspect);
    }

    /** Removes the quarantine of {@code suspect}; returns false when there was none. */
    public boolean lift(Suspect suspect) {
        mProbes.remove(suspect);
        Entry removed = mEntries.remove(suspect);
        if (removed == null) {
            return false;
        }
        mLiftedSinceMs.put(suspect, removed.sinceMs());
        dropOldest(mLiftedSinceMs);
        return true;
    }

    /** Returns whether {@code suspect} is in quarantine. */
    public boolean contains(Suspect suspect) {
        return mEntries.containsKey(suspect);
    }

    /** Returns whether {@code entry} is in force and was not prolonged or lifted since. */
    public boolean isInForce(Entry entry) {
        return entry.equals(mEntries.get(entry.suspect()));
    }

    /** Returns the number of entries. */
    public int size() {
        return mEntries.size();
    }

    /** Returns all entries. */
    public Collection<Entry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Returns an entry that forbids to send a prompt to a service now, or null. */
    public @Nullable Entry blocking(String service, PromptParts prompt) {
        List<Entry> blocking = allBlocking(service, prompt);
        return blocking.isEmpty() ? null : blocking.get(0);
    }

    /** Returns the entries that forbid to send a prompt to a service now. */
    public List<Entry> allBlocking(String service, PromptParts prompt) {
        if (mEntries.isEmpty() || prompt.shared().isEmpty()) {
            return List.of();
        }
        return mEntries.values().stream()
                .filter(entry -> entry.suspect().matches(service, prompt))
                .toList();
    }

    /**
     * Returns whether a request that {@code entry} blocks may be sent as the probe. Only one host
     * may ask; for a single item that is the one that runs its job.
     */
    public boolean mayProbe(Entry entry, String requestId, long nowMs) {
        if (nowMs < entry.untilMs()) {
            return false;
        }
        Probe probe = probeUnderWay(entry.suspect(), nowMs);
        return probe == null || probe.requestId().equals(requestId);
    }

    private @Nullable Probe probeUnderWay(Suspect suspect, long nowMs) {
        Probe probe = mProbes.get(suspect);
        return probe == null || nowMs - probe.sentAtMs() >= PROBE_MS ? null : probe;
    }

    /** Sends a request as the probe of {@code entry} if it may be, and returns whether it is. */
    public boolean startProbe(Entry entry, String requestId, long nowMs) {
        if (!mayProbe(entry, requestId, nowMs)) {
            return false;
        }
        if (probeUnderWay(entry.suspect(), nowMs) == null) {
            mProbes.put(entry.suspect(), new Probe(requestId, nowMs));
        }
        return true;
    }

    /** Returns whether a request was sent as a probe of {@code suspect}. */
    public boolean isProbed(Suspect suspect) {
        return mProbes.containsKey(suspect);
    }

    /** Returns the entry that a complete answer lifts because it was the probe's, or null. */
    public @Nullable Entry liftedBySuccess(String service, PromptParts prompt) {
        return allBlocking(service, prompt).stream()
                .filter(entry -> isProbed(entry.suspect()))
                .findFirst()
                .orElse(null);
    }

    /**
     * Records that a target ended under {@code prompt}.
     *
     * @return the prolonged entry when that was the probe's end, or null
     */
    public @Nullable Entry prolongAfterEnd(String service, PromptParts prompt, long nowMs) {
        Entry entry = liftedBySuccess(service, prompt);
        if (entry == null) {
            return null;
        }
        mProbes.remove(entry.suspect());
        Entry prolonged = entry.prolonged(nowMs);
        mEntries.put(entry.suspect(), prolonged);
        return prolonged;
    }
}
