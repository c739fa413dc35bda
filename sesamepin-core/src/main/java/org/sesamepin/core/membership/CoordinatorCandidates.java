package org.sesamepin.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the hosts that do work for the whole fleet, such as placing the requests of a service.
 * Hosts may differ in processor capacity several times over, and such work would leave a small host
 * no time for its own callers.
 */
public final class CoordinatorCandidates {
    /** Capacity relative to the most powerful host at which a host still is a candidate. */
    private static final double MIN_RELATIVE_CAPACITY = 0.75;

    private CoordinatorCandidates() {}

    /**
     * Returns the candidates among the hosts.
     *
     * @param coresByHost processor capacity of each host, in cores
     */
    public static Set<String> select(Map<String, Double> coresByHost) {
        double highest = coresByHost.values().stream().mapToDouble(c -> c).max().orElse(0);
        Set<String> candidates = new TreeSet<>();
        coresByHost.forEach(
                (host, cores) -> {
                    if (cores >= highest * MIN_RELATIVE_CAPACITY) {
                        candidates.add(host);
                    }
                });
        return candidates;
    }

    /**
     * Returns the {@code count} candidates that rendezvous hashing ranks highest for {@code key};
     * all of them when there are fewer.
     */
    public static Set<String> ranked(String key, Map<String, Double> coresByHost, int count) {
        List<String> ranked =
                select(coresByHost).stream()
                        .sorted(
                                Comparator.comparingLong(
                                                (String host) -> Rendezvous.score(key, host))
                                        .reversed())
                        .limit(count)
                        .toList();
        return new TreeSet<>(ranked);
    }
}
