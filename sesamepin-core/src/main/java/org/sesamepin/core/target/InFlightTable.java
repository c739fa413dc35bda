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
final class InFlightTable {
    private static final long REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Hosts that have to find a target failing before requests of the others avoid it. */
    private static final int MIN_FAILING_HOSTS = 2;

    /** Time in which a granted request shows in the reports of its host. */
    private static final long GRANT_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

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

    private record Grant(String host, String target, boolean batch, long grantedAt) {}

    private record Report(
            Map<String, Count> countsByTarget, Set<String> failingTargets, long reportedAt) {}

    private final Map<String, Report> mReportsByHost = new HashMap<>();
    private List<Grant> mGrants = new ArrayList<>();

    void recordReport(String host, Map<String, Count> counts, Set<String> failing, long now) {
        mReportsByHost.put(host, new Report(counts, failing, now));
        mGrants.removeIf(
                grant ->
                        grant.host().equals(host)
                                && now - grant.grantedAt() > GRANT_REPORT_DELAY_NANOS);
    }

    void recordGrant(String host, String target, boolean batch, long now) {
        mGrants.add(new Grant(host, target, batch, now));
    }

    /** Returns what all hosts have in flight, by incarnation of the target. */
    Map<String, Count> totalsByTarget(long now) {
        mReportsByHost.values().removeIf(report -> now - report.reportedAt() > REPORT_TTL_NANOS);
        mGrants.removeIf(grant -> now - grant.grantedAt() > REPORT_TTL_NANOS);
        Map<String, Count> totals = new HashMap<>();
        for (Report report : mReportsByHost.values()) {
            report.countsByTarget()
                    .forEach((target, count) -> totals.merge(target, count, Count::plus));
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
    Set<String> targetsToAvoid(String host, List<TargetInstance> targets) {
        Map<String, Integer> failed = new HashMap<>();
        mReportsByHost.forEach(
                (reporter, report) -> {
                    int weight = reporter.equals(host) ? MIN_FAILING_HOSTS : 1;
                    report.failingTargets().forEach(t -> failed.merge(t, weight, Integer::sum));
                });
        Set<String> avoided = new HashSet<>();
        for (TargetInstance target : targets) {
            if (failed.getOrDefault(target.incarnation(), 0) >= MIN_FAILING_HOSTS) {
                avoided.add(target.incarnation());
            }
        }
        return avoided.size() < targets.size() ? avoided : Set.of();
    }

    /** Returns the host with the most batch items at {@code target}; empty when there is none. */
    String hostWithMostBatchItems(String target) {
        String best = "";
        int most = 0;
        for (Map.Entry<String, Report> entry : mReportsByHost.entrySet()) {
            int batch = entry.getValue().countsByTarget().getOrDefault(target, Count.NONE).batch();
            if (batch > most) {
                most = batch;
                best = entry.getKey();
            }
        }
        return best;
    }

    /** Notes that a host was told to suspend an item, before its next report shows it. */
    void recordSuspension(String host, String target) {
        Report report = mReportsByHost.get(host);
        if (report == null) {
            return;
        }
        Map<String, Count> counts = new HashMap<>(report.countsByTarget());
        Count count = counts.getOrDefault(target, Count.NONE);
        counts.put(target, new Count(count.online(), Math.max(0, count.batch() - 1)));
        mReportsByHost.put(host, new Report(counts, report.failingTargets(), report.reportedAt()));
    }
}
