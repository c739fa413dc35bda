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

    /** Time in which a probe is answered or has failed. */
    private static final long PROBE_MS = TimeUnit.SECONDS.toMillis(30);

    private static final int MAX_ENTRIES = 64;

    /**
     * A quarantine in force.
     *
     * @param suspect the parts
     * @param sinceMs when it began, milliseconds since the Unix epoch
     * @param untilMs when a probe may be sent, milliseconds since the Unix epoch
     */
    public record Entry(Suspect suspect, long sinceMs, long untilMs) {
        /** Returns the entry of a suspect that was identified now. */
        public static Entry startingAt(Suspect suspect, long nowMs) {
            long durationMs = suspect.isSingleItem() ? FIRST_ITEM_DURATION_MS : FIRST_DURATION_MS;
            return new Entry(suspect, nowMs, nowMs + durationMs);
        }

        /** Returns the entry after a probe that ended another target. */
        Entry prolonged(long nowMs) {
            long durationMs = Math.min(MAX_DURATION_MS, 2 * (untilMs - sinceMs));
            return new Entry(suspect, nowMs, nowMs + durationMs);
        }
    }

    private final Map<Suspect, Entry> mEntries = new LinkedHashMap<>();

    private record Probe(String requestId, long sentAtMs) {}

    private final Map<Suspect, Probe> mProbes = new LinkedHashMap<>();
    private final Map<Suspect, Long> mLiftedSinceMs = new LinkedHashMap<>();

    /**
     * Adds an entry, or replaces the older one of the same parts. An entry that was lifted is not
     * added again.
     *
     * @return whether it was added
     */
    public boolean add(Entry entry) {
        Entry present = mEntries.get(entry.suspect());
        long lifted = mLiftedSinceMs.getOrDefault(entry.suspect(), Long.MIN_VALUE);
        boolean outdated = present != null && present.sinceMs() >= entry.sinceMs();
        if (outdated || lifted >= entry.sinceMs()) {
            return false;
        }
        mEntries.put(entry.suspect(), entry);
        dropOldest(mEntries);
        return true;
    }

    private static void dropOldest(Map<Suspect, ?> map) {
        if (map.size() > MAX_ENTRIES) {
            map.remove(map.keySet().iterator().next());
        }
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

    /** Returns the entry that forbids to send a prompt to a service now, or null. */
    public @Nullable Entry blocking(String service, PromptParts prompt) {
        if (mEntries.isEmpty() || prompt.shared().isEmpty()) {
            return null;
        }
        for (Entry entry : mEntries.values()) {
            if (entry.suspect().matches(service, prompt)) {
                return entry;
            }
        }
        return null;
    }

    /**
     * Returns whether a request that {@code entry} blocks may be sent as the probe. Only one host
     * may ask; for a single item that is the one that runs its job.
     */
    public boolean startProbe(Entry entry, String requestId, long nowMs) {
        if (nowMs < entry.untilMs()) {
            return false;
        }
        Probe probe = mProbes.get(entry.suspect());
        if (probe != null && nowMs - probe.sentAtMs() < PROBE_MS) {
            return probe.requestId().equals(requestId);
        }
        mProbes.put(entry.suspect(), new Probe(requestId, nowMs));
        return true;
    }

    /** Returns the entry that a complete answer lifts because it was the probe's, or null. */
    public @Nullable Entry liftedBySuccess(String service, PromptParts prompt) {
        Entry entry = blocking(service, prompt);
        boolean probed = entry != null && mProbes.containsKey(entry.suspect());
        return probed ? entry : null;
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
