package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.serving.RouteKind;

/** Guards against accepted items that get no target while targets with free slots serve. */
class WaitingItemsTest {
    /** Longest time from the moment at which all is well until an item has run. */
    private static final long MAX_WAIT_MS = 5_000;

    /** Time for the run of an item, its publication and the reading of its result. */
    private static final long RUN_MS = 2_000;

    private static final long HISTORY_MS = 8_000;

    /** Time after the end of a host at which its registration lapses. */
    private static final long LEASE_MS = 1_500;

    private record Job(String id, int items) {}

    private static int awaitResults(LoopbackFleet fleet, List<Job> jobs, long waitMs)
            throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        int open = openItems(fleet, jobs);
        while (open > 0 && System.nanoTime() - deadline < 0) {
            Thread.sleep(50);
            open = openItems(fleet, jobs);
        }
        return open;
    }

    private static int openItems(LoopbackFleet fleet, List<Job> jobs) throws Exception {
        int open = 0;
        for (Job job : jobs) {
            open += job.items() - fleet.results(0, job.id()).size();
        }
        return open;
    }

    /** Two hosts that cannot reach each other may name different coordinators of a service. */
    @Test
    void itemsOfAHostThatIsCutOffFromTheCoordinatorRun() throws Exception {
        List<String> ranked = new ArrayList<>(List.of("n1", "n2", "n3"));
        String first = Objects.requireNonNull(Rendezvous.owner(StandInTargets.SERVICE, ranked));
        ranked.remove(first);
        String second = Objects.requireNonNull(Rendezvous.owner(StandInTargets.SERVICE, ranked));
        ranked.remove(second);
        String cutOff = ranked.get(0);
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.setStoreOfNode(
                    node -> {
                        if (node.equals(first)) {
                            return new CutPeerStore(fleet.store(), cutOff);
                        }
                        return node.equals(cutOff)
                                ? new CutPeerStore(fleet.store(), first)
                                : fleet.store();
                    });
            fleet.start(3, 2);
            awaitCoordinator(fleet, indexOf(second), first);
            awaitCoordinator(fleet, indexOf(cutOff), second);
            int node = indexOf(cutOff);
            fleet.submitJob(node, "job", List.of("p"));
            assertEquals(0, awaitResults(fleet, List.of(new Job("job", 1)), MAX_WAIT_MS + RUN_MS));
        }
    }

    private static int indexOf(String node) {
        return node.charAt(1) - '1';
    }

    private static void awaitCoordinator(LoopbackFleet fleet, int node, String coordinator)
            throws Exception {
        while (!fleet.onLoop(() -> Future.succeededFuture(coordinators(fleet, node)))
                .equals(List.of(coordinator))) {
            Thread.sleep(20);
        }
    }

    private static List<String> coordinators(LoopbackFleet fleet, int node) {
        return fleet.node(node).context().placementClient().coordinatingPeers().stream()
                .map(PeerTable.Peer::name)
                .toList();
    }

    /** Plays random ends and starts of hosts and targets, with jobs, and then none. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void itemsRunSoonAfterARandomHistory(long seed) throws Exception {
        Random random = new Random(seed);
        List<Job> jobs = new ArrayList<>();
        try (LoopbackFleet fleet = new LoopbackFleet(RouteKind.STREAM, Set.of())) {
            fleet.start(4, List.of("v1", "v1", "v2", "v2"));
            List<String> names = new ArrayList<>(List.of("n1", "n2", "n3", "n4"));
            int started = names.size();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HISTORY_MS);
            while (System.nanoTime() - end < 0) {
                int action = random.nextInt(6);
                if (action < 3) {
                    Job job = new Job("job" + jobs.size(), 1 + random.nextInt(20));
                    int node = random.nextInt(names.size());
                    fleet.submitJob(node, job.id(), Collections.nCopies(job.items(), job.id()));
                    jobs.add(job);
                } else if (action == 3) {
                    endTarget(fleet, random);
                } else if (names.size() > 2) {
                    int node = random.nextInt(names.size());
                    if (action == 4) {
                        fleet.beginStop(node);
                        Thread.sleep(300);
                    }
                    fleet.closeNode(node);
                    expireLater(fleet, names.remove(node));
                } else {
                    fleet.startNode();
                    names.add("n" + ++started);
                }
                Thread.sleep(random.nextInt(400));
            }
            Thread.sleep(LEASE_MS);
            fleet.awaitPeers(names.size());
            int open = awaitResults(fleet, jobs, MAX_WAIT_MS + RUN_MS);
            assertEquals(0, open, "open items of " + jobs);
        }
    }

    private static void endTarget(LoopbackFleet fleet, Random random) throws Exception {
        fleet.onLoop(
                () -> {
                    List<String> running = fleet.targets().running();
                    if (!running.isEmpty()) {
                        fleet.targets().end(running.get(random.nextInt(running.size())));
                    }
                    return Future.succeededFuture();
                });
    }

    private static void expireLater(LoopbackFleet fleet, String host) throws Exception {
        fleet.onLoop(
                () -> {
                    fleet.vertx()
                            .setTimer(
                                    LEASE_MS,
                                    t -> fleet.store().expireLeaseOf(ServingKeys.host(host)));
                    return Future.succeededFuture();
                });
    }
}
