package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Pulses that fill all targets of a service, as its coordinator sees them. */
class ServiceCoordinatorTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int SLOTS = 4;

    private final ServiceCoordinator mCoordinator = new ServiceCoordinator();

    private static List<TargetInstance> targets(int count) {
        List<TargetInstance> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            targets.add(
                    new TargetInstance("t" + i, 1, "s", address, "a", SLOTS, TargetState.READY, 0));
        }
        return targets;
    }

    private ServiceCoordinator.Answer ask(
            String id, boolean returned, List<TargetInstance> targets, long now) {
        return mCoordinator.ask(
                new ServiceCoordinator.Ask(
                        id, "host", 0, returned, 300 * MS, now + 5_000 * MS, Set.of()),
                targets,
                Set.of(),
                now);
    }

    private void report(String host, Map<String, Integer> online, Map<String, Integer> batch) {
        mCoordinator.reported(host, online, batch, 0, 0, 0);
    }

    @Test
    void requestsOfAllHostsSpreadEvenly() {
        List<TargetInstance> targets = targets(3);
        Map<String, Integer> placed = new HashMap<>();
        for (int i = 0; i < 3 * SLOTS; i++) {
            ServiceCoordinator.Grant grant = ask("r" + i, false, targets, 0).grant();
            assertNotNull(grant);
            placed.merge(grant.target().id(), 1, Integer::sum);
        }
        assertEquals(Map.of("t0", SLOTS, "t1", SLOTS, "t2", SLOTS), placed);
    }

    @Test
    void batchItemGivesWayWhereAllSlotsAreTaken() {
        List<TargetInstance> targets = targets(2);
        report("online", Map.of("t0@1", SLOTS), Map.of());
        report("batch", Map.of("t1@1", 1), Map.of("t1@1", SLOTS - 1));
        ServiceCoordinator.Grant grant = ask("r", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t1", grant.target().id());
        assertEquals("batch", grant.suspendAt());
    }

    @Test
    void freeSlotIsPreferredToPreemption() {
        List<TargetInstance> targets = targets(2);
        report("batch", Map.of(), Map.of("t0@1", SLOTS));
        report("online", Map.of("t1@1", SLOTS - 1), Map.of());
        ServiceCoordinator.Grant grant = ask("r", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t1", grant.target().id());
        assertEquals("", grant.suspendAt());
    }

    @Test
    void firstCallIsRefusedAtOnceAndReturnedOneWaitsWhenThePulseExceedsTheSlots() {
        List<TargetInstance> targets = targets(1);
        mCoordinator.observeService(20_000 * MS);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        ServiceCoordinator.Answer first = ask("first", false, targets, 0);
        assertTrue(first.refused());
        assertTrue(first.retryAfterNanos() > 0);
        ServiceCoordinator.Answer returned = ask("returned", true, targets, 0);
        assertFalse(returned.refused());
        assertNull(returned.grant());
        assertEquals(1, mCoordinator.queued());
        report("host", Map.of("t0@1", SLOTS - 1), Map.of());
        List<ServiceCoordinator.Grant> grants = mCoordinator.grants(targets, Set.of(), 100 * MS);
        assertEquals(List.of("returned"), grants.stream().map(g -> g.askId()).toList());
    }

    @Test
    void batchItemsLeaveASlotFreeAndGoToTheHostWhoseItemsAreDueFirst() {
        List<TargetInstance> targets = targets(1);
        mCoordinator.reported("later", Map.of(), Map.of(), 9, 2_000 * MS, 0);
        mCoordinator.reported("sooner", Map.of(), Map.of(), 2, 1_000 * MS, 0);
        List<ServiceCoordinator.Grant> grants = mCoordinator.grants(targets, Set.of(), 0);
        assertEquals(
                List.of("sooner", "sooner", "later"),
                grants.stream().map(ServiceCoordinator.Grant::host).toList());
        assertEquals(SLOTS - 1, grants.size());
    }

    @Test
    void noItemStartsWhileAnOnlineRequestWaits() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        mCoordinator.reported("items", Map.of(), Map.of(), 5, 0, 0);
        assertNull(ask("r", true, targets, 0).grant());
        assertEquals(List.of(), mCoordinator.grants(targets, Set.of(), 0));
    }

    @Test
    void hostThatFellSilentNoLongerCounts() {
        List<TargetInstance> targets = targets(1);
        report("dead", Map.of("t0@1", SLOTS + 1), Map.of());
        assertTrue(ask("r", false, targets, 0).grant() == null);
        assertNotNull(ask("r2", false, targets, 2_000 * MS).grant());
    }

    @Test
    void expiredRequestGetsNoPlace() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        assertNull(ask("r", true, targets, 0).grant());
        mCoordinator.reported("host", Map.of(), Map.of(), 0, 0, 6_000 * MS);
        assertEquals(List.of(), mCoordinator.grants(targets, Set.of(), 6_000 * MS));
    }
}
