package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What the targets of one service still have to do for the online requests that they run, as far as
 * their work is known. It declines with time at the speed of the target. The number of requests
 * comes from the counts of {@link InFlightTable}; this knows only which of them may last. A wrong
 * estimate is corrected when the request is no longer counted. Not thread-safe.
 */
final class TargetWorkload {
    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Time after which a request counts as ended, as when its host has ended with it. */
    private static final long MAX_RUN_NANOS = TimeUnit.MINUTES.toNanos(10);

    /**
     * A request at a target.
     *
     * @param changedAt when {@code remainingMs} was right, a reading of the monotonic clock
     * @param remainingMs work left, as time on a target of usual speed
     * @param errorMs work that may be left when no more is expected
     */
    private record Run(String host, long changedAt, double remainingMs, double errorMs) {
        /** Returns the time that the target still needs, milliseconds. */
        double leftMs(double slowdown, long now) {
            double doneMs = (now - changedAt) / NANOS_PER_MS / slowdown;
            return slowdown * Math.max(errorMs, remainingMs - doneMs);
        }
    }

    private final Map<String, List<Run>> mRunsByTarget = new HashMap<>();

    /** Records that a request of {@code host} is sent to {@code target}. */
    void recordGrant(String host, String target, WorkEstimator.Estimate work, long now) {
        mRunsByTarget
                .computeIfAbsent(target, t -> new ArrayList<>())
                .add(new Run(host, now, work.meanMs(), work.errorMs()));
    }

    boolean isEmpty() {
        return mRunsByTarget.isEmpty();
    }

    /**
     * Drops the requests of {@code host} that have ended. Reports do not say which ones have, so
     * those that were expected to end first are dropped.
     *
     * @param online the host's online requests that count as in flight, by incarnation of the
     *     target
     */
    void retain(String host, Map<String, Integer> online, long now) {
        mRunsByTarget.forEach(
                (target, runs) -> {
                    runs.removeIf(run -> now - run.changedAt() > MAX_RUN_NANOS);
                    int excess = -online.getOrDefault(target, 0);
                    for (Run run : runs) {
                        excess += run.host().equals(host) ? 1 : 0;
                    }
                    if (excess > 0) {
                        runs.stream()
                                .filter(run -> run.host().equals(host))
                                .sorted(Comparator.comparingDouble(run -> run.leftMs(1, now)))
                                .limit(excess)
                                .toList()
                                .forEach(runs::remove);
                    }
                });
        mRunsByTarget.values().removeIf(List::isEmpty);
    }

    /**
     * Returns the time until a request that is sent to a full target now gets a slot, milliseconds;
     * null when the work of some of the requests there is not known, as any of them may end first.
     *
     * @param inFlight requests at the target
     * @param slowdown time that work takes at the target, relative to one of usual speed
     */
    @Nullable Double waitMs(TargetInstance target, int inFlight, double slowdown, long now) {
        List<Run> runs = mRunsByTarget.getOrDefault(target.incarnation(), List.of());
        int endsBefore = inFlight - target.slots();
        int ended = Math.max(0, runs.size() - inFlight);
        if (endsBefore < 0) {
            return 0.0;
        }
        if (runs.size() < inFlight) {
            return null;
        }
        return runs.stream()
                .map(run -> run.leftMs(slowdown, now))
                .sorted()
                .skip(endsBefore + ended)
                .findFirst()
                .orElse(null);
    }
}
