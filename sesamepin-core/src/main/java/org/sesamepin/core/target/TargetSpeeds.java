package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How fast the targets of one service stream, as the hosts measured it. Targets of one service may
 * differ several times over, and a slot of a fast one serves so many more requests. Not
 * thread-safe.
 */
final class TargetSpeeds {
    private final Map<String, Map<String, Double>> mEventIntervalsMsByHost = new HashMap<>();

    /**
     * Takes in what a host measured.
     *
     * @param eventMs mean time between two events of a stream, milliseconds, by incarnation of the
     *     target; empty when the host tells nothing new
     */
    void recordReport(String host, Map<String, Double> eventMs) {
        if (!eventMs.isEmpty()) {
            mEventIntervalsMsByHost.put(host, eventMs);
        }
    }

    /**
     * Returns how many times longer each target takes than the fastest of {@code targets}, by
     * incarnation; 1 for a target that nobody has measured, so that it is tried.
     */
    Map<String, Double> slowdowns(List<TargetInstance> targets) {
        Map<String, Double> means = new HashMap<>();
        double fastest = Double.MAX_VALUE;
        for (TargetInstance target : targets) {
            double mean = meanEventIntervalMs(target.incarnation());
            means.put(target.incarnation(), mean);
            fastest = mean > 0 ? Math.min(fastest, mean) : fastest;
        }
        double unit = fastest;
        means.replaceAll((target, mean) -> mean > 0 ? mean / unit : 1);
        return means;
    }

    /** Returns the mean of what the hosts measured; 0 when none did. */
    private double meanEventIntervalMs(String target) {
        double sum = 0;
        int hosts = 0;
        for (Map<String, Double> eventMs : mEventIntervalsMsByHost.values()) {
            Double measured = eventMs.get(target);
            if (measured != null) {
                sum += measured;
                hosts++;
            }
        }
        return hosts == 0 ? 0 : sum / hosts;
    }
}
