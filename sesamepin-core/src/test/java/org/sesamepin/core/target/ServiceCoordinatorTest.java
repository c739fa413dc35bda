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

/**
 * Guards the placement of requests when bursts fill the targets of a service: uneven placement,
 * preemption without need, queueing of requests that cannot be served in time, and use of failing
 * or slow targets.
 */
class ServiceCoordinatorTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int SLOTS = 4;

    private final ServiceCoordinator mCoordinator =
            new ServiceCoordinator(new TargetRateLimits(), new TargetPaces());

    private static List<TargetInstance> targets(int count) {
        List<TargetInstance> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            targets.add(
                    new TargetInstance(
                            "t" + i, 1, "s", "v1", address, "a", SLOTS, TargetState.READY, 0));
        }
        return targets;
    }

    private ServiceCoordinator.Reply requestPlacement(
            String requestId, boolean isRetry, List<TargetInstance> targets, long now) {
        return mCoordinator.requestPlacement(
                new ServiceCoordinator.Request(
                        requestId, "host", 0, isRetry, 300 * MS, now + 5_000 * MS, Set.of(), null),
                targets,
                now);
    }

    /** Returns targets of the given versions, by their position. */
    private static List<TargetInstance> targetsOf(String... versions) {
        List<TargetInstance> targets = new ArrayList<>();
        for (int i = 0; i < versions.length; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            targets.add(
                    new TargetInstance(
                            "t" + i,
                            1,
                            "s",
                            versions[i],
                            address,
                            "a",
                            SLOTS,
                            TargetState.READY,
                            0));
        }
        return targets;
    }

    private ServiceCoordinator.Reply requestVersion(
            String requestId, String version, Set<String> excluded, List<TargetInstance> targets) {
        return mCoordinator.requestPlacement(
                new ServiceCoordinator.Request(
                        requestId, "host", 0, true, 300 * MS, 5_000 * MS, excluded, version),
                targets,
                0);
    }

    @Test
    void placesAContinuedStreamOnlyAtItsVersion() {
        List<TargetInstance> targets = targetsOf("old", "new", "new");
        report("batch", Map.of(), Map.of("t0@1", SLOTS, "t1@1", 1));
        for (int i = 0; i < SLOTS + 1; i++) {
            ServiceCoordinator.Grant grant =
                    requestVersion("r" + i, "old", Set.of(), targets).grant();
            assertNotNull(grant);
            assertEquals("t0", grant.target().id());
        }
        ServiceCoordinator.Reply full = requestVersion("full", "old", Set.of(), targets);
        assertNull(full.grant());
        assertFalse(full.rejected());
        assertTrue(mCoordinator.rejectWithoutTarget(targets).isEmpty());
    }

    @Test
    void rejectsAContinuedStreamAtOnceWhenNoTargetOfItsVersionIsLeft() {
        List<TargetInstance> targets = targetsOf("old", "new");
        assertTrue(requestVersion("r", "gone", Set.of(), targets).rejected());
        assertTrue(requestVersion("r", "old", Set.of("t0@1"), targets).rejected());
        assertEquals(0, mCoordinator.queueLength());
    }

    /** A request that waits for a version must be told at once when the version is gone. */
    @Test
    void rejectsAWaitingRequestWhoseVersionIsGone() {
        List<TargetInstance> targets = targetsOf("old", "new");
        report("host", Map.of("t0@1", SLOTS + 1, "t1@1", SLOTS + 1), Map.of());
        assertFalse(requestVersion("waiting", "old", Set.of(), targets).rejected());
        assertFalse(requestPlacement("any", true, targets, 0).rejected());
        List<ServiceCoordinator.Request> rejected =
                mCoordinator.rejectWithoutTarget(targetsOf("new").subList(0, 1));
        assertEquals(
                List.of("waiting"),
                rejected.stream().map(ServiceCoordinator.Request::requestId).toList());
        assertEquals(1, mCoordinator.queueLength());
    }

    /** The wait for a version is predicted from the slots of its targets alone. */
    @Test
    void predictsTheWaitForAVersionFromItsOwnSlots() {
        List<TargetInstance> targets = targetsOf("old", "new", "new", "new");
        report(
                "host",
                Map.of("t0@1", SLOTS + 1, "t1@1", SLOTS + 1, "t2@1", SLOTS + 1, "t3@1", SLOTS + 1),
                Map.of());
        ServiceCoordinator.Request first =
                new ServiceCoordinator.Request(
                        "first", "host", 0, false, 1_000 * MS, 5_000 * MS, Set.of(), "new");
        assertFalse(mCoordinator.requestPlacement(first, targets, 0).rejected());
        for (int i = 0; i < 3 * SLOTS; i++) {
            ServiceCoordinator.Request more =
                    new ServiceCoordinator.Request(
                            "new" + i, "host", 0, true, 1_000 * MS, 5_000 * MS, Set.of(), "new");
            mCoordinator.requestPlacement(more, targets, 0);
        }
        ServiceCoordinator.Request other =
                new ServiceCoordinator.Request(
                        "old", "host", 0, false, 1_000 * MS, 5_000 * MS, Set.of(), "old");
        assertFalse(mCoordinator.requestPlacement(other, targets, 0).rejected());
    }

    private void report(
            String host, Map<String, Integer> onlineInFlight, Map<String, Integer> batchInFlight) {
        report(host, onlineInFlight, batchInFlight, Set.of(), 0);
    }

    private void report(
            String host,
            Map<String, Integer> onlineInFlight,
            Map<String, Integer> batchInFlight,
            Set<String> failingTargets,
            long now) {
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        host, onlineInFlight, batchInFlight, failingTargets, Map.of(), 0, 0, null),
                now);
    }

    private void reportWaitingItems(String host, int waitingItems, long firstDueAt) {
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        host,
                        Map.of(),
                        Map.of(),
                        Set.of(),
                        Map.of(),
                        waitingItems,
                        firstDueAt,
                        null),
                0);
    }

    @Test
    void spreadsRequestsEvenlyOverTargets() {
        List<TargetInstance> targets = targets(3);
        Map<String, Integer> placed = new HashMap<>();
        for (int i = 0; i < 3 * SLOTS; i++) {
            ServiceCoordinator.Grant grant = requestPlacement("r" + i, false, targets, 0).grant();
            assertNotNull(grant);
            placed.merge(grant.target().id(), 1, Integer::sum);
        }
        assertEquals(Map.of("t0", SLOTS, "t1", SLOTS, "t2", SLOTS), placed);
    }

    @Test
    void preemptsBatchItemWhenAllSlotsAreTaken() {
        List<TargetInstance> targets = targets(2);
        report("online", Map.of("t0@1", SLOTS), Map.of());
        report("batch", Map.of("t1@1", 1), Map.of("t1@1", SLOTS - 1));
        ServiceCoordinator.Grant grant = requestPlacement("r", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t1", grant.target().id());
        assertEquals("batch", grant.suspendingHost());
    }

    @Test
    void prefersFreeSlotToPreemption() {
        List<TargetInstance> targets = targets(2);
        report("batch", Map.of(), Map.of("t0@1", SLOTS));
        report("online", Map.of("t1@1", SLOTS - 1), Map.of());
        ServiceCoordinator.Grant grant = requestPlacement("r", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t1", grant.target().id());
        assertEquals("", grant.suspendingHost());
    }

    @Test
    void rejectsFirstAttemptAndQueuesRetryWhenBurstExceedsSlots() {
        List<TargetInstance> targets = targets(1);
        mCoordinator.recordServiceTime(20_000 * MS);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        ServiceCoordinator.Reply first = requestPlacement("first", false, targets, 0);
        assertTrue(first.rejected());
        assertTrue(first.retryAfterNanos() > 0);
        ServiceCoordinator.Reply retry = requestPlacement("returned", true, targets, 0);
        assertFalse(retry.rejected());
        assertNull(retry.grant());
        assertEquals(1, mCoordinator.queueLength());
        report("host", Map.of("t0@1", SLOTS - 1), Map.of());
        List<ServiceCoordinator.Grant> grants = mCoordinator.placeWaiting(targets, 100 * MS);
        assertEquals(List.of("returned"), grants.stream().map(g -> g.requestId()).toList());
    }

    @Test
    void batchItemsKeepOneSlotFreeAndGoToHostWithFirstDueItems() {
        List<TargetInstance> targets = targets(1);
        reportWaitingItems("later", 9, 2_000 * MS);
        reportWaitingItems("sooner", 2, 1_500 * MS);
        List<ServiceCoordinator.Grant> grants = mCoordinator.placeWaiting(targets, 0);
        assertEquals(
                List.of("sooner", "sooner", "later"),
                grants.stream().map(ServiceCoordinator.Grant::host).toList());
        assertEquals(SLOTS - 1, grants.size());
    }

    @Test
    void placesNoBatchItemWhileOnlineRequestWaits() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        reportWaitingItems("items", 5, 0);
        assertNull(requestPlacement("r", true, targets, 0).grant());
        assertEquals(List.of(), mCoordinator.placeWaiting(targets, 0));
    }

    @Test
    void ignoresReportOfUnresponsiveHost() {
        List<TargetInstance> targets = targets(1);
        report("dead", Map.of("t0@1", SLOTS + 1), Map.of());
        assertTrue(requestPlacement("r", false, targets, 0).grant() == null);
        assertNotNull(requestPlacement("r2", false, targets, 2_000 * MS).grant());
    }

    @Test
    void doesNotPlaceRequestPastItsDeadline() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        assertNull(requestPlacement("r", true, targets, 0).grant());
        report("host", Map.of(), Map.of(), Set.of(), 6_000 * MS);
        assertEquals(List.of(), mCoordinator.placeWaiting(targets, 6_000 * MS));
    }

    @Test
    void queuesRepeatedRequestOnce() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        assertNull(requestPlacement("r", true, targets, 0).grant());
        assertNull(requestPlacement("r", true, targets, 400 * MS).grant());
        assertEquals(1, mCoordinator.queueLength());
    }

    @Test
    void doesNotPlaceRequestThatItsHostNoLongerRepeats() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        assertNull(requestPlacement("r", true, targets, 0).grant());
        report("host", Map.of(), Map.of(), Set.of(), 1_100 * MS);
        assertEquals(List.of(), mCoordinator.placeWaiting(targets, 1_100 * MS));
    }

    @Test
    void thirdHostAvoidsTargetThatFailsTwoHosts() {
        List<TargetInstance> targets = targets(2);
        report("other", Map.of("t1@1", SLOTS - 1), Map.of(), Set.of("t0@1"), 0);
        report("another", Map.of(), Map.of(), Set.of("t0@1"), 0);
        ServiceCoordinator.Grant grant = requestPlacement("r", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t1", grant.target().id());
    }

    @Test
    void onlyReportingHostAvoidsTargetThatFailsOneHost() {
        List<TargetInstance> targets = targets(2);
        report("other", Map.of("t1@1", SLOTS - 1), Map.of(), Set.of("t0@1"), 0);
        ServiceCoordinator.Grant grant = requestPlacement("r", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t0", grant.target().id());
        report("host", Map.of(), Map.of(), Set.of("t0@1"), 0);
        grant = requestPlacement("r2", false, targets, 0).grant();
        assertNotNull(grant);
        assertEquals("t1", grant.target().id());
    }

    @Test
    void usesFailingTargetWhenItIsTheOnlyOne() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of(), Map.of(), Set.of("t0@1"), 0);
        assertNotNull(requestPlacement("r", false, targets, 0).grant());
    }

    private void reportEventIntervals(Map<String, Double> eventIntervalsMs) {
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        "measuring", Map.of(), Map.of(), Set.of(), eventIntervalsMs, 0, 0, null),
                0);
    }

    private List<String> placeRequests(int count, List<TargetInstance> targets) {
        List<String> placed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServiceCoordinator.Grant grant = requestPlacement("r" + i, false, targets, 0).grant();
            assertNotNull(grant);
            placed.add(grant.target().id());
        }
        return placed;
    }

    @Test
    void fillsFastTargetBeforeOneThatTakesThreeTimesAsLong() {
        reportEventIntervals(Map.of("t0@1", 45.0, "t1@1", 15.0));
        assertEquals(List.of("t1", "t1", "t1", "t1", "t0"), placeRequests(SLOTS + 1, targets(2)));
    }

    @Test
    void triesTargetWithoutMeasurements() {
        reportEventIntervals(Map.of("t0@1", 45.0, "t1@1", 15.0));
        assertTrue(placeRequests(2, targets(3)).contains("t2"));
    }

    @Test
    void batchItemsWaitForFastTargetsUnlessBacklogExceedsTheirSlots() {
        List<TargetInstance> targets = targets(2);
        reportEventIntervals(Map.of("t0@1", 45.0, "t1@1", 15.0));
        reportWaitingItems("few", SLOTS, 0);
        assertEquals(SLOTS - 1, mCoordinator.placeWaiting(targets, 0).size());
        reportWaitingItems("many", 3 * SLOTS, 0);
        assertEquals(SLOTS - 1, mCoordinator.placeWaiting(targets, 0).size());
    }

    @Test
    void placesOverdueItemsAfterItemsThatCanBeInTime() {
        List<TargetInstance> targets = targets(1);
        reportWaitingItems("late", 1, -1_000 * MS);
        reportWaitingItems("in-time", 1, 9_000 * MS);
        assertEquals(
                List.of("in-time", "late"),
                mCoordinator.placeWaiting(targets, 0).stream()
                        .map(ServiceCoordinator.Grant::host)
                        .toList());
    }

    private void reportAt(String host, int waitingItems, long firstDueAt, long now) {
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        host,
                        Map.of(),
                        Map.of(),
                        Set.of(),
                        Map.of(),
                        waitingItems,
                        firstDueAt,
                        null),
                now);
    }

    /** Guards against grants to a host that ended, which keep slots from the items of others. */
    @Test
    void itemsDoNotWaitBehindThoseOfAHostThatEnded() {
        List<TargetInstance> targets = targets(1);
        reportAt("ended", 60, 60_000 * MS, 0);
        for (long now = 0; now <= 2_000 * MS; now += 25 * MS) {
            mCoordinator.placeWaiting(targets, now);
        }
        List<String> hosts = new ArrayList<>();
        for (long now = 2_000 * MS; now <= 5_000 * MS; now += 25 * MS) {
            if (now % (500 * MS) == 0) {
                reportAt("alive", 1, 90_000 * MS, now);
            }
            mCoordinator.placeWaiting(targets, now).forEach(grant -> hosts.add(grant.host()));
        }
        assertTrue(hosts.contains("alive"), "grants: " + hosts);
    }

    private static TargetInstance targetWithSlots(int slots) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000);
        return new TargetInstance("t0", 1, "s", "v1", address, "a", slots, TargetState.READY, 0);
    }

    /** Guards against items that wait for good because the only slot of a target is reserved. */
    @Test
    void itemRunsAtATargetWithOneSlot() {
        List<TargetInstance> targets = List.of(targetWithSlots(1));
        reportWaitingItems("host", 2, 0);
        assertEquals(1, mCoordinator.placeWaiting(targets, 0).size());
    }

    /** Guards against items that wait for a request which may not use the idle targets. */
    @Test
    void itemsUseTargetsThatNoWaitingRequestMayUse() {
        List<TargetInstance> targets = targetsOf("old", "new");
        report("host", Map.of("t0@1", SLOTS + 1), Map.of());
        reportAt("items", 1, 0, 0);
        assertNull(requestVersion("r", "old", Set.of(), targets).grant());
        List<ServiceCoordinator.Grant> grants = mCoordinator.placeWaiting(targets, 0);
        assertEquals(List.of("t1"), grants.stream().map(grant -> grant.target().id()).toList());
    }

    /** Guards against items that wait for fast targets which online requests keep full. */
    @Test
    void itemsUseSlowTargetsWhenTheFastOnesStayFull() {
        List<TargetInstance> targets = targets(2);
        reportEventIntervals(Map.of("t0@1", 45.0, "t1@1", 15.0));
        int granted = 0;
        for (long now = 0; now <= 5_000 * MS; now += 250 * MS) {
            report("online", Map.of("t1@1", SLOTS), Map.of(), Set.of(), now);
            reportAt("items", 1, 60_000 * MS, now);
            granted += mCoordinator.placeWaiting(targets, now).size();
        }
        assertTrue(granted > 0, "no grant while a target is idle");
    }

    /** Guards against items that wait behind those of a host with no path to the idle targets. */
    @Test
    void itemsDoNotWaitBehindThoseOfAHostThatAvoidsTheIdleTargets() {
        List<TargetInstance> targets = targets(2);
        report("online", Map.of("t1@1", SLOTS), Map.of());
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        "cut-off",
                        Map.of(),
                        Map.of(),
                        Set.of("t0@1"),
                        Map.of(),
                        1,
                        1_500 * MS,
                        null),
                0);
        reportWaitingItems("items", 1, 2_000 * MS);
        List<ServiceCoordinator.Grant> grants = mCoordinator.placeWaiting(targets, 0);
        assertEquals(
                List.of("items"), grants.stream().map(ServiceCoordinator.Grant::host).toList());
    }

    /** Guards against slots that short requests seem to hold after they have ended. */
    @Test
    void endedRequestFreesItsSlotWithTheNextReport() {
        List<TargetInstance> targets = targets(1);
        report("host", Map.of(), Map.of());
        assertNotNull(requestPlacement("first", false, targets, 0).grant());
        ReportStamp stamp = new ReportStamp(1, 1, new GrantReceipt(1, Set.of()));
        mCoordinator.recordReport(
                new ServiceCoordinator.HostStatus(
                        "host", Map.of(), Map.of(), Set.of(), Map.of(), 0, 0, stamp),
                42 * MS);
        ServiceCoordinator.Grant next = requestPlacement("next", false, targets, 100 * MS).grant();
        assertNotNull(next);
        assertEquals(0, next.occupancy());
        assertEquals(2, next.number());
    }
}
