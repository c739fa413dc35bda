package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Requests in flight at the targets of one service, by host, as the service's coordinator knows
 * them: the last report of each host, and the grants that a report cannot have covered yet. A wrong
 * count lasts until the host's next report. Not thread-safe.
 */
final class HostLoads {
    private static final long REPORT_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Hosts that have to find a target failing before requests of the others avoid it. */
    private static final int AVOIDED_FROM = 2;

    /** Time in which a granted request shows in the reports of its host. */
    private static final long GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /**
     * Requests of one host at one target.
     *
     * @param online online requests
     * @param batch batch items
     */
    record Count(int online, int batch) {
        static final Count NONE = new Count(0, 0);

        Count plus(Count other) {
            return new Count(online + other.online, batch + other.batch);
        }
    }

    private record Grant(String host, String target, boolean batch, long at) {}

    private record Report(Map<String, Count> counts, Set<String> failing, long at) {}

    private final Map<String, Report> mReports = new HashMap<>();
    private List<Grant> mGrants = new ArrayList<>();

    void reported(String host, Map<String, Count> counts, Set<String> failing, long now) {
        mReports.put(host, new Report(counts, failing, now));
        mGrants.removeIf(grant -> grant.host().equals(host) && now - grant.at() > GRANT_NANOS);
    }

    void granted(String host, String target, boolean batch, long now) {
        mGrants.add(new Grant(host, target, batch, now));
    }

    /** Returns what all hosts have in flight, by incarnation of the target. */
    Map<String, Count> totals(long now) {
        mReports.values().removeIf(report -> now - report.at() > REPORT_LIFE_NANOS);
        mGrants.removeIf(grant -> now - grant.at() > REPORT_LIFE_NANOS);
        Map<String, Count> totals = new HashMap<>();
        for (Report report : mReports.values()) {
            report.counts().forEach((target, count) -> totals.merge(target, count, Count::plus));
        }
        for (Grant grant : mGrants) {
            Count one = grant.batch() ? new Count(0, 1) : new Count(1, 0);
            totals.merge(grant.target(), one, Count::plus);
        }
        return totals;
    }

    /**
     * Returns the targets that a request of {@code host} had better not be sent to: those that
     * failed requests of that host, and those that failed several hosts. One other host's failures
     * may come from its own path to the target. Empty when that would leave no target.
     */
    Set<String> avoided(String host, List<TargetInstance> targets) {
        Map<String, Integer> failed = new HashMap<>();
        mReports.forEach(
                (reporter, report) -> {
                    int weight = reporter.equals(host) ? AVOIDED_FROM : 1;
                    report.failing().forEach(t -> failed.merge(t, weight, Integer::sum));
                });
        Set<String> avoided = new HashSet<>();
        for (TargetInstance target : targets) {
            if (failed.getOrDefault(target.incarnation(), 0) >= AVOIDED_FROM) {
                avoided.add(target.incarnation());
            }
        }
        return avoided.size() < targets.size() ? avoided : Set.of();
    }

    /** Returns the host with the most batch items at {@code target}; empty when there is none. */
    String hostOfBatch(String target) {
        String best = "";
        int most = 0;
        for (Map.Entry<String, Report> entry : mReports.entrySet()) {
            int batch = entry.getValue().counts().getOrDefault(target, Count.NONE).batch();
            if (batch > most) {
                most = batch;
                best = entry.getKey();
            }
        }
        return best;
    }

    /** Notes that a host was told to suspend an item, before its next report shows it. */
    void suspended(String host, String target) {
        Report report = mReports.get(host);
        if (report == null) {
            return;
        }
        Map<String, Count> counts = new HashMap<>(report.counts());
        Count count = counts.getOrDefault(target, Count.NONE);
        counts.put(target, new Count(count.online(), Math.max(0, count.batch() - 1)));
        mReports.put(host, new Report(counts, report.failing(), report.at()));
    }
}
