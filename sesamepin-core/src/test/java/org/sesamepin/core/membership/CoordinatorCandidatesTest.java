package org.sesamepin.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which hosts do work for the whole fleet: never the small hosts of a mixed fleet. */
class CoordinatorCandidatesTest {
    private static final int LARGE = 15;
    private static final int SMALL = 47;

    private static Map<String, Double> mixedFleet() {
        Map<String, Double> cores = new HashMap<>();
        for (int i = 0; i < LARGE; i++) {
            cores.put("large-" + i, 1.5);
        }
        for (int i = 0; i < SMALL; i++) {
            cores.put("small-" + i, 0.27);
        }
        return cores;
    }

    @Test
    void smallHostsOfAMixedFleetAreNoCandidates() {
        Set<String> candidates = CoordinatorCandidates.select(mixedFleet());
        assertEquals(LARGE, candidates.size());
        assertTrue(candidates.stream().allMatch(host -> host.startsWith("large-")));
    }

    @Test
    void allHostsOfAUniformFleetAreCandidates() {
        assertEquals(Set.of("a", "b"), CoordinatorCandidates.select(Map.of("a", 0.75, "b", 0.75)));
    }

    @Test
    void departureOfAHostReplacesOnlyThatHost() {
        Map<String, Double> cores = mixedFleet();
        Set<String> before = CoordinatorCandidates.ranked("customer", cores, 12);
        assertEquals(12, before.size());
        String gone = before.iterator().next();
        cores.remove(gone);
        Set<String> after = CoordinatorCandidates.ranked("customer", cores, 12);
        assertEquals(12, after.size());
        before.remove(gone);
        assertTrue(after.containsAll(before));
    }
}
