package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The ends of targets of the last minutes, as all hosts have reported them. Not thread-safe. */
final class RecentEnds {
    private static final long END_TTL_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Time in which the peers' successes with the parts of an end arrive. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Time in which all hosts report one end of a target; shorter than a target needs to start. */
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final int MAX_ENDS = 64;
    private static final int MAX_RUNS_PER_END = 64;

    /**
     * An end.
     *
     * @param seenAt when this host learned of it, a reading of the monotonic clock
     */
    record SeenEnd(TargetEnd end, long seenAt) {}

    private final PromptSuspects.TargetIdentity mIdentity;
    private final LinkedHashMap<String, SeenEnd> mEnds = new LinkedHashMap<>();
    private long mEndsOfNames;

    RecentEnds(PromptSuspects.TargetIdentity identity) {
        mIdentity = identity;
    }

    /** Records the end of a target that a host has seen; reports of several hosts are joined. */
    void record(TargetEnd end, long now) {
        String key = keyOf(end, now);
        SeenEnd seen = mEnds.get(key);
        List<TargetEnd.Run> runs = new ArrayList<>(end.runs());
        if (seen != null) {
            runs.addAll(seen.end().runs());
        }
        if (runs.size() > MAX_RUNS_PER_END) {
            runs = runs.subList(0, MAX_RUNS_PER_END);
        }
        TargetEnd joined = new TargetEnd(end.service(), key, runs);
        mEnds.put(key, new SeenEnd(joined, seen == null ? now : seen.seenAt()));
    }

    /** Returns a key that is the same for all reports of one end of a target. */
    private String keyOf(TargetEnd end, long now) {
        if (mIdentity == PromptSuspects.TargetIdentity.INCARNATION) {
            return end.target();
        }
        String prefix = end.target() + '#';
        for (Map.Entry<String, SeenEnd> entry : mEnds.entrySet()) {
            boolean sameEnd = now - entry.getValue().seenAt() <= REPORT_NANOS;
            if (sameEnd && entry.getKey().startsWith(prefix)) {
                return entry.getKey();
            }
        }
        return prefix + mEndsOfNames++;
    }

    void dropOld(long now) {
        mEnds.values().removeIf(seen -> now - seen.seenAt() > END_TTL_NANOS);
        while (mEnds.size() >= MAX_ENDS) {
            mEnds.remove(mEnds.keySet().iterator().next());
        }
    }

    /** Returns all ends. */
    Collection<SeenEnd> all() {
        return Collections.unmodifiableCollection(mEnds.values());
    }

    /** Returns the ends of targets of {@code service} that all hosts have reported by now. */
    List<SeenEnd> settled(String service, long now) {
        List<SeenEnd> ends = new ArrayList<>();
        for (SeenEnd seen : mEnds.values()) {
            boolean settled = now - seen.seenAt() >= SETTLE_NANOS;
            if (settled && seen.end().service().equals(service)) {
                ends.add(seen);
            }
        }
        return ends;
    }

    /** Returns the targets of a service that ended since {@code since} in an end of some kind. */
    Set<String> targets(String service, long since, Predicate<TargetEnd> kind) {
        Set<String> targets = new HashSet<>();
        for (SeenEnd seen : mEnds.values()) {
            boolean isLate = seen.end().service().equals(service) && seen.seenAt() - since >= 0;
            if (isLate && kind.test(seen.end())) {
                targets.add(seen.end().target());
            }
        }
        return targets;
    }
}
