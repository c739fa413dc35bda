package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Requests in flight at the targets of one service, by host, as the service's coordinator sees
 * them: the newest report of each host, plus the grants that this report does not contain. Grants
 * to a host are numbered from 1, and its reports name the numbers that they contain. Not
 * thread-safe.
 */
final class InFlightTable {
    /** Time after its last report for which a host counts as alive. */
    static final long REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Hosts that must report a target as failing before requests of other hosts avoid it. */
    private static final int MIN_FAILING_HOSTS = 2;

    /** Time within which a granted request appears in reports that do not name their grants. */
    private static final long GRANT_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /**
     * Time after which a report that does not contain a grant shows that the grant was lost. Grants
     * are discarded by their host after 150 ms, or given up by their sender after 400 ms, and hosts
     * report every 500 ms.
     */
    static final long LOST_GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

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

    private record Grant(long number, String target, boolean batch, long grantedAt) {
        boolean isContainedIn(Report report) {
            ReportStamp stamp = report.stamp();
            long ageNanos = report.reportedAt() - grantedAt;
            if (stamp == null) {
                return ageNanos > GRANT_REPORT_DELAY_NANOS;
            }
            return stamp.receipt().contains(number) || ageNanos >= LOST_GRANT_NANOS;
        }
    }

    private record Report(
            Map<String, Count> countsByTarget,
            Set<String> failingTargets,
            @Nullable ReportStamp stamp,
            long reportedAt) {
        boolean isNewerThan(@Nullable ReportStamp other) {
            return stamp != null && other != null && other.isOlderThan(stamp);
        }
    }

    private final Map<String, Report> mReportsByHost = new HashMap<>();
    private final Map<String, List<Grant>> mGrantsByHost = new HashMap<>();
    private final Map<String, Long> mLastNumbersByHost = new HashMap<>();

    /**
     * Replaces the report of {@code host} and drops the grants that the new one contains. A report
     * that is older than the one before is ignored.
     *
     * @param stamp null when the host does not name the grants that its reports contain
     * @return whether the report was used
     */
    boolean recordReport(
            String host,
            Map<String, Count> counts,
            Set<String> failing,
            @Nullable ReportStamp stamp,
            long now) {
        dropExpired(now);
        Report last = mReportsByHost.get(host);
        if (last != null && last.isNewerThan(stamp)) {
            return false;
        }
        Report report = new Report(counts, failing, stamp, now);
        mReportsByHost.put(host, report);
        List<Grant> grants = mGrantsByHost.get(host);
        if (grants != null) {
            grants.removeIf(grant -> grant.isContainedIn(report));
        }
        return true;
    }

    /**
     * Records a grant, which counts as in flight until a report of {@code host} contains it.
     *
     * @return the grant's number
     */
    long recordGrant(String host, String target, boolean batch, long now) {
        long number = mLastNumbersByHost.merge(host, 1L, Long::sum);
        mGrantsByHost
                .computeIfAbsent(host, h -> new ArrayList<>())
                .add(new Grant(number, target, batch, now));
        return number;
    }

    /** Drops the reports of hosts that no longer report, and the grants to them. */
    private void dropExpired(long now) {
        mReportsByHost.values().removeIf(report -> now - report.reportedAt() > REPORT_TTL_NANOS);
        mGrantsByHost.forEach(
                (host, grants) -> {
                    if (!mReportsByHost.containsKey(host)) {
                        grants.removeIf(grant -> now - grant.grantedAt() > REPORT_TTL_NANOS);
                    }
                });
        mGrantsByHost.values().removeIf(List::isEmpty);
    }

    /** Returns the number of grants that no report contains yet. */
    int unreportedGrants() {
        return mGrantsByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the online requests in flight of {@code host}, by incarnation of the target. */
    Map<String, Integer> onlineOf(String host) {
        Map<String, Integer> online = new HashMap<>();
        Report report = mReportsByHost.get(host);
        if (report != null) {
            report.countsByTarget().forEach((target, count) -> online.put(target, count.online()));
        }
        for (Grant grant : mGrantsByHost.getOrDefault(host, List.of())) {
            if (!grant.batch()) {
                online.merge(grant.target(), 1, Integer::sum);
            }
        }
        return online;
    }

    /** Returns the requests in flight of all hosts, by incarnation of the target. */
    Map<String, Count> totalsByTarget(long now) {
        dropExpired(now);
        Map<String, Count> totals = new HashMap<>();
        for (Report report : mReportsByHost.values()) {
            report.countsByTarget()
                    .forEach((target, count) -> totals.merge(target, count, Count::plus));
        }
        for (List<Grant> grants : mGrantsByHost.values()) {
            for (Grant grant : grants) {
                Count granted = grant.batch() ? new Count(0, 1) : new Count(1, 0);
                totals.merge(grant.target(), granted, Count::plus);
            }
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
        mReportsByHost.put(
                host,
                new Report(counts, report.failingTargets(), report.stamp(), report.reportedAt()));
    }
}
