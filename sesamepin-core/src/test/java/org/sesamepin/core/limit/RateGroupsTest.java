package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.CustomerSpec;

/** Tests which hosts hold the shares of a rate group, and what happens when groups change. */
class RateGroupsTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final CustomerSpec CUSTOMER = new CustomerSpec("c", List.of(), null, 100, 120);

    private static Map<String, Double> uniformFleet(int hosts) {
        Map<String, Double> cores = new HashMap<>();
        for (int i = 0; i < hosts; i++) {
            cores.put("h" + i, 0.5);
        }
        return cores;
    }

    /** Six shares of a sixth would let a host that is replaced though alive add a sixth. */
    @Test
    void holdersAreFilledUpWithTheNextLessPowerfulHosts() {
        RateGroups groups = new RateGroups(RateWorkload.coresByHost());
        assertEquals(1, groups.groups().size());
        List<String> holders = groups.holdersOf(groups.groups().get(0));
        assertEquals(RateGroups.MAX_HOLDERS, holders.size());
        Set<String> first = new HashSet<>(holders.subList(0, 6));
        assertEquals(Set.of("host-0", "host-1", "host-2", "host-3", "host-4", "host-5"), first);
        for (String holder : holders.subList(6, 12)) {
            assertEquals(0.75, RateWorkload.coresByHost().get(holder));
        }
    }

    /** One leader for all customers of hundreds of hosts would run out of processor time. */
    @Test
    void numberOfGroupsGrowsWithTheFleet() {
        assertEquals(1, new RateGroups(uniformFleet(14)).groups().size());
        assertEquals(1, new RateGroups(uniformFleet(95)).groups().size());
        assertEquals(2, new RateGroups(uniformFleet(96)).groups().size());
        assertEquals(4, new RateGroups(uniformFleet(256)).groups().size());
    }

    /**
     * A share that is delegated must stay unused while customers move to other groups, else it is
     * used by the former leader and by its holder at once.
     */
    @Test
    void delegatedShareIsNotUsedWhenTheGroupsChange() {
        Map<String, Double> small = uniformFleet(95);
        Map<String, Double> large = uniformFleet(96);
        List<String> before = new RateGroups(small).holdersOf("rate-group-0-of-1");
        RateGroups after = new RateGroups(large);
        String group = after.groupOf(CUSTOMER.name());
        String self =
                before.stream()
                        .filter(after.holdersOf(group)::contains)
                        .findFirst()
                        .orElseGet(() -> before.get(1));
        String asker = before.get(before.indexOf(self) == 0 ? 1 : 0);
        GroupRates rates = new GroupRates(self, 0);
        rates.update(small, List.of(CUSTOMER), 0);
        RateGroupMember member = Objects.requireNonNull(rates.member("rate-group-0-of-1"));
        assertTrue(member.onShareRequest(asker, 1, 0).delegated());
        rates.update(large, List.of(CUSTOMER), 100 * MS);
        RateGroupMember moved = Objects.requireNonNull(rates.member(group));
        assertEquals(0, moved.fraction(1_200 * MS));
        boolean isHolder = after.holdersOf(group).contains(self);
        assertEquals(isHolder ? 1.0 / 12 : 0, moved.fraction(1_225 * MS));
        assertFalse(rates.members().containsKey("rate-group-0-of-1"));
    }

    /** A process that is about to stop must not lead the groups that a late registration makes. */
    @Test
    void stoppingProcessStaysStoppedWhenTheGroupsChange() {
        GroupRates rates = new GroupRates("h0", 0);
        rates.update(uniformFleet(95), List.of(CUSTOMER), 0);
        rates.members().values().forEach(member -> member.stop(0));
        rates.update(uniformFleet(96), List.of(CUSTOMER), MS);
        for (RateGroupMember member : rates.members().values()) {
            assertTrue(member.isStopping());
            assertEquals(0, member.fraction(MS));
        }
    }

    /** A notice that arrives late must not free a share that was delegated again meanwhile. */
    @Test
    void oldReleaseDoesNotFreeAShareThatIsDelegatedAnew() {
        RateGroupMember member = new RateGroupMember("b", 0, 0);
        member.setHolders(List.of("a", "b"), 0);
        assertTrue(member.onShareRequest("a", 7, 0).delegated());
        member.onRelease("a", 5, MS);
        assertEquals(0, member.fraction(MS));
        member.onRelease("a", 8, MS);
        assertEquals(0.5, member.fraction(MS));
    }

    /** A share is delegated to one host at a time, also when two consider themselves leader. */
    @Test
    void secondLeaderGetsNoShare() {
        RateGroupMember member = new RateGroupMember("c", 0, 0);
        member.setHolders(List.of("a", "b", "c"), 0);
        assertTrue(member.onShareRequest("b", 1, 0).delegated());
        assertFalse(member.onShareRequest("a", 1, 1_223 * MS).delegated());
        assertTrue(member.onShareRequest("a", 2, 1_225 * MS).delegated());
    }
}
