package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Streaming speeds of the targets of one service, as measured by the hosts. The targets of one
 * service may differ in speed several times over, and a slot of a fast target then serves
 * correspondingly more requests. Not thread-safe.
 */
final class TargetSpeeds {
    private final Map<String, Map<String, Double>> mEventIntervalsMsByHost = new HashMap<>();

    /**
     * Records the measurements of a host.
     *
     * @param eventIntervalsMs mean time between two events of a stream, milliseconds, by
     *     incarnation of the target; empty when the host has no new measurements
     */
    void recordReport(String host, Map<String, Double> eventIntervalsMs) {
        if (!eventIntervalsMs.isEmpty()) {
            mEventIntervalsMsByHost.put(host, eventIntervalsMs);
        }
    }

    /**
     * Returns the slowdown of each target relative to the fastest of {@code targets}, by
     * incarnation. It is 1 for a target that no host has measured, so that the target is tried.
     */
    Map<String, Double> slowdowns(List<TargetInstance> targets) {
        Map<String, Double> intervals = new HashMap<>();
        double shortest = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            double interval = meanEventIntervalMs(target.incarnation());
            intervals.put(target.incarnation(), interval);
            shortest = interval > 0 ? Math.min(shortest, interval) : shortest;
        }
        double shortestInterval = shortest;
        intervals.replaceAll((target, interval) -> interval > 0 ? interval / shortestInterval : 1);
        return intervals;
    }

    /** Returns the mean event interval over all hosts, milliseconds; 0 when no host measured it. */
    private double meanEventIntervalMs(String target) {
        double sum = 0;
        int hosts = 0;
        for (Map<String, Double> eventIntervalsMs : mEventIntervalsMsByHost.values()) {
            Double intervalMs = eventIntervalsMs.get(target);
            if (intervalMs != null) {
                sum += intervalMs;
                hosts++;
            }
        }
        return hosts == 0 ? 0 : sum / hosts;
    }
}
