package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.CoordinatorCandidates;
import org.sesamepin.core.membership.Rendezvous;

/**
 * Assigns the customers of a large fleet to rate groups, and each group to the hosts that hold the
 * shares of its rates. All hosts that know the same registered hosts compute the same assignment.
 * Immutable.
 */
public final class RateGroups {
    /**
     * Largest number of holders of a group. A holder that uses its share although another host has
     * replaced it exceeds the rate by the inverse of this number.
     */
    public static final int MAX_HOLDERS = 12;

    /** Number of hosts for which one leader admits requests. */
    private static final double HOSTS_PER_GROUP = 64;

    private final List<String> mGroups = new ArrayList<>();
    private final Map<String, List<String>> mHoldersByGroup = new HashMap<>();

    /**
     * Computes the groups and their holders.
     *
     * @param coresByHost processor capacity of each registered host, in cores
     */
    public RateGroups(Map<String, Double> coresByHost) {
        long count = Math.max(1, Math.round(coresByHost.size() / HOSTS_PER_GROUP));
        for (int i = 0; i < count; i++) {
            // The name contains the count, so that hosts that know different numbers of groups
            // never take a share of one assignment for a share of the other.
            String group = "rate-group-" + i + "-of-" + count;
            mGroups.add(group);
            mHoldersByGroup.put(group, selectHolders(group, coresByHost));
        }
    }

    private static List<String> selectHolders(String group, Map<String, Double> coresByHost) {
        Map<String, Double> remaining = new HashMap<>(coresByHost);
        List<String> holders = new ArrayList<>();
        while (holders.size() < MAX_HOLDERS && !remaining.isEmpty()) {
            Set<String> candidates = CoordinatorCandidates.select(remaining);
            candidates.stream()
                    .sorted(
                            Comparator.comparingDouble(
                                            (String host) ->
                                                    Rendezvous.weightedScore(group, host, 1))
                                    .reversed())
                    .limit(MAX_HOLDERS - holders.size())
                    .forEach(holders::add);
            remaining.keySet().removeAll(candidates);
        }
        return List.copyOf(holders);
    }

    /** Returns the names of all groups. */
    public List<String> groups() {
        return mGroups;
    }

    /** Returns the group of {@code customer}. */
    public String groupOf(String customer) {
        if (mGroups.size() == 1) {
            return mGroups.get(0);
        }
        @Nullable String owner = Rendezvous.owner(customer, mGroups);
        return owner == null ? mGroups.get(0) : owner;
    }

    /**
     * Returns the holders of {@code group} in the order in which they become its leader; empty for
     * an unknown group.
     */
    public List<String> holdersOf(String group) {
        return mHoldersByGroup.getOrDefault(group, List.of());
    }
}
