package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Requests in flight at the targets of one service, by host, as the service's coordinator sees
 * them: the last report of each host, plus the grants that are too recent to be part of a report. A
 * wrong count is corrected by the host's next report. Not thread-safe.
 */
final class InFlightTable {
    /** Time after its last report for which a host counts as alive. */
    static final long REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Hosts that must report a target as failing before requests of other hosts avoid it. */
    private static final int MIN_FAILING_HOSTS = 2;

    /** Time within which a granted request appears in the reports of its host. */
    private static final long GRANT_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /**
     * Requests in flight at one target.
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

    /** Replaces the report of {@code host} and drops the grants that it must contain by now. */
    void recordReport(String host, Map<String, Count> counts, Set<String> failing, long now) {
        mReportsByHost.put(host, new Report(counts, failing, now));
        mGrants.removeIf(
                grant ->
                        grant.host().equals(host)
                                && now - grant.grantedAt() > GRANT_REPORT_DELAY_NANOS);
    }

    /** Records a grant, which counts as in flight until a report of {@code host} contains it. */
    void recordGrant(String host, String target, boolean batch, long now) {
        mGrants.add(new Grant(host, target, batch, now));
    }

    /** Returns the requests in flight of all hosts, by incarnation of the target. */
    Map<String, Count> totalsByTarget(long now) {
        mReportsByHost.values().removeIf(report -> now - report.reportedAt() > REPORT_TTL_NANOS);
        mGrants.removeIf(grant -> now - grant.grantedAt() > REPORT_TTL_NANOS);
        Map<String, Count> totals = new HashMap<>();
        for (Report report : mReportsByHost.values()) {
            report.countsByTarget()
                    .forEach((target, count) -> totals.merge(target, count, Count::plus));
        }
        for (Grant grant : mGrants) {
            Count granted = grant.batch() ? new Count(0, 1) : new Count(1, 0);
            totals.merge(grant.target(), granted, Count::plus);
        }
        return totals;
    }

    /**
     * Returns the incarnations of the targets that a request of {@code host} should avoid: those
     * that failed requests of that host, and those that failed requests of several hosts. Failures
     * of a single other host may be caused by that host's network path to the target. Returns an
     * empty set when no target would be left.
     */
    Set<String> targetsToAvoid(String host, List<TargetInstance> targets) {
        Map<String, Integer> failureWeights = new HashMap<>();
        mReportsByHost.forEach(
                (reporter, report) -> {
                    int weight = reporter.equals(host) ? MIN_FAILING_HOSTS : 1;
                    report.failingTargets()
                            .forEach(t -> failureWeights.merge(t, weight, Integer::sum));
                });
        Set<String> targetsToAvoid = new HashSet<>();
        for (TargetInstance target : targets) {
            if (failureWeights.getOrDefault(target.incarnation(), 0) >= MIN_FAILING_HOSTS) {
                targetsToAvoid.add(target.incarnation());
            }
        }
        return targetsToAvoid.size() < targets.size() ? targetsToAvoid : Set.of();
    }

    /** Returns the host with the most batch items at {@code target}; empty when there is none. */
    String hostWithMostBatchItems(String target) {
        String bestHost = "";
        int mostItems = 0;
        for (Map.Entry<String, Report> entry : mReportsByHost.entrySet()) {
            int batch = entry.getValue().countsByTarget().getOrDefault(target, Count.NONE).batch();
            if (batch > mostItems) {
                mostItems = batch;
                bestHost = entry.getKey();
            }
        }
        return bestHost;
    }

    /** Records that a host was told to suspend an item, ahead of its next report. */
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
