package org.sesamepin.core.prompt;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The parts of prompts that are not sent to targets, since targets ended under them. Now and then
 * one item of a job or one request is sent as a probe, by {@link ItemProbes}; when it is answered,
 * the quarantine is lifted. A whole content of a request is probed only after its whole time, which
 * doubles with each target that ends. Not thread-safe.
 */
public final class PromptQuarantine {
    private static final long FIRST_DURATION_MS = TimeUnit.MINUTES.toMillis(10);

    private static final long MAX_DURATION_MS = TimeUnit.HOURS.toMillis(24);

    /** Time in which a probe is answered or has failed. */
    private static final long PROBE_MS = TimeUnit.SECONDS.toMillis(30);

    /** Time within which all hosts identify the same parts, with the difference of their clocks. */
    private static final long MAX_IDENTIFICATION_MS = TimeUnit.SECONDS.toMillis(3);

    private static final int MAX_ENTRIES = 64;

    /**
     * A quarantine in force.
     *
     * @param suspect the parts
     * @param sinceMs when it began, milliseconds since the Unix epoch
     * @param untilMs when a probe may be sent, milliseconds since the Unix epoch
     * @param probeClaims number of probes that hosts have claimed
     * @param failedProbes number of those under which their target ended, and no other one
     * @param nextProbeMs when the next one may be claimed, milliseconds since the Unix epoch
     * @param probeTarget incarnation of the target to which the last one was sent; empty when it
     *     was not sent, and for a host that was not told; see {@link #isProbeOpen}
     */
    public record Entry(
            Suspect suspect,
            long sinceMs,
            long untilMs,
            int probeClaims,
            int failedProbes,
            long nextProbeMs,
            String probeTarget) {
        /** Stands for the target of a probe that is over; comes after all targets in order. */
        private static final String OVER = "~";

        private static final Comparator<Entry> BY_PROBES =
                Comparator.comparingInt(Entry::probeClaims)
                        .thenComparing(Entry::probeTarget)
                        .thenComparingLong(Entry::nextProbeMs);

        /** Creates an entry of which no probe was claimed. */
        public Entry(Suspect suspect, long sinceMs, long untilMs) {
            this(suspect, sinceMs, untilMs, 0, 0, sinceMs + ProbeSchedule.OUTCOME_MS, "");
        }

        /** Returns the entry of a suspect that was identified now. */
        public static Entry startingAt(Suspect suspect, long nowMs) {
            return new Entry(suspect, nowMs, nowMs + FIRST_DURATION_MS);
        }

        /** Returns when a request may be a probe, milliseconds since the Unix epoch. */
        public long nextRequestProbeMs() {
            return nextProbeMs + ProbeSchedule.requestWaitMs(failedProbes);
        }

        /** Returns the entry after a probe that ended another target. */
        Entry prolonged(long nowMs) {
            long durationMs = Math.min(MAX_DURATION_MS, 2 * (untilMs - sinceMs));
            return new Entry(
                    suspect,
                    nowMs,
                    nowMs + durationMs,
                    probeClaims,
                    failedProbes,
                    nextProbeMs,
                    probeTarget);
        }

        /** Returns the entry after the next probe was claimed. */
        public Entry withClaim(long nowMs) {
            long nextMs = nowMs + ProbeSchedule.OUTCOME_MS;
            return withProbes(probeClaims + 1, failedProbes, nextMs, "");
        }

        /** Returns the entry after the probe that was claimed last was sent to a target. */
        public Entry withProbeSentTo(String target) {
            return withProbes(probeClaims, failedProbes, nextProbeMs, target);
        }

        /** Returns the entry after the probe that was claimed last is over and said nothing. */
        public Entry withProbeOver() {
            return withProbes(probeClaims, failedProbes, nextProbeMs, OVER);
        }

        /** Returns whether the probe that was claimed last was sent and has no known outcome. */
        public boolean isProbeOpen() {
            return !probeTarget.isEmpty() && !probeTarget.equals(OVER);
        }

        /** Returns the entry after the probe that was claimed last has failed. */
        public Entry withFailedProbe(long nowMs) {
            long nextMs = nowMs + ProbeSchedule.waitAfterFailuresMs(failedProbes + 1);
            return withProbes(probeClaims, failedProbes + 1, nextMs, OVER);
        }

        /**
         * Returns the entry after the probe that was claimed last, a request, ended its target.
         * From some failures on, requests are probes seldom, and theirs count no more.
         */
        public Entry withFailedRequest(long nowMs) {
            return ProbeSchedule.countsRequest(failedProbes) ? withFailedProbe(nowMs) : this;
        }

        private Entry withProbes(int claims, int failures, long nextMs, String target) {
            return new Entry(suspect, sinceMs, untilMs, claims, failures, nextMs, target);
        }

        /**
         * Returns what two entries of the same parts say together, in whichever order they came:
         * the times of the newer one, and the probes of the one that knows more of them. An entry
         * from before a lift says nothing any more.
         */
        public Entry mergedWith(Entry other) {
            Entry newer = sinceMs >= other.sinceMs ? this : other;
            if (Math.abs(sinceMs - other.sinceMs) > MAX_IDENTIFICATION_MS) {
                return newer;
            }
            Entry last = BY_PROBES.compare(this, other) >= 0 ? this : other;
            return new Entry(
                    suspect,
                    newer.sinceMs,
                    newer.untilMs,
                    last.probeClaims,
                    Math.max(failedProbes, other.failedProbes),
                    last.nextProbeMs,
                    last.probeTarget);
        }
    }

    private final Map<Suspect, Entry> mEntries = new LinkedHashMap<>();

    private record Probe(String requestId, long sentAtMs) {}

    private final Map<Suspect, Probe> mProbes = new LinkedHashMap<>();
    private final Map<Suspect, Long> mLiftedSinceMs = new LinkedHashMap<>();

    /**
     * Adds an entry, or what it says beyond the present one of the same parts. An entry that was
     * lifted is not added again, and one of a single item never: items are owed, so their ids hold
     * nothing back. Hosts of older versions store such entries.
     *
     * @return whether it said anything new
     */
    public boolean add(Entry entry) {
        if (entry.suspect().isSingleItem()) {
            return false;
        }
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
     * counts as one whose probe has failed.
     */
    public Entry newEntry(Suspect suspect, long nowMs) {
        Long lifted = mLiftedSinceMs.get(suspect);
        if (lifted == null) {
            return Entry.startingAt(suspect, nowMs);
        }
        long sinceMs = Math.max(nowMs, lifted + 1);
        return Entry.startingAt(suspect, sinceMs).withFailedProbe(sinceMs);
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

    /** Returns the entry of {@code suspect}, or null. */
    public @Nullable Entry get(Suspect suspect) {
        return mEntries.get(suspect);
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
     * Returns whether a request that {@code entry} blocks may be sent as the probe after its whole
     * time. Only one host may ask.
     */
    public boolean mayProbe(Entry entry, String requestId, long nowMs) {
        return nowMs >= entry.untilMs() && isFreeFor(entry.suspect(), requestId, nowMs);
    }

    /** Returns whether a request is the probe of {@code suspect} that is under way, or none is. */
    public boolean isFreeFor(Suspect suspect, String requestId, long nowMs) {
        return probeUnderWay(suspect, nowMs) == null || isProbe(suspect, requestId, nowMs);
    }

    /** Returns whether a request is the probe of {@code suspect} that is under way. */
    public boolean isProbe(Suspect suspect, String requestId, long nowMs) {
        Probe probe = probeUnderWay(suspect, nowMs);
        return probe != null && probe.requestId().equals(requestId);
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
        startProbe(entry.suspect(), requestId, nowMs);
        return true;
    }

    /** Records that a request is the probe of {@code suspect}, unless one is under way. */
    public void startProbe(Suspect suspect, String requestId, long nowMs) {
        if (probeUnderWay(suspect, nowMs) == null) {
            mProbes.put(suspect, new Probe(requestId, nowMs));
        }
    }

    /** Records that the probe of {@code suspect} that may be under way counts no more. */
    public void endProbe(Suspect suspect) {
        mProbes.remove(suspect);
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
