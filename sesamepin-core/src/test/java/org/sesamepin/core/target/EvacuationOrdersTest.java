package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which orders to evacuate a failure domain hold. Listings, changes and reports of peers
 * overtake one another; an older one must neither lift an order nor bring a lifted one back.
 */
class EvacuationOrdersTest {
    private static final int HOSTS = 4;
    private static final int CHANGES = 40;

    private static EvacuationOrders.Change change(String domain, boolean ordered, long revision) {
        return new EvacuationOrders.Change(domain, ordered, revision);
    }

    private static TargetInstance target(String id, String service, String domain) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance(id, 1, service, "v1", address, domain, 8, TargetState.READY, 0);
    }

    @Test
    void aListingFromBeforeAChangeIsIgnored() {
        EvacuationOrders ordered = EvacuationOrders.NONE.after(List.of(change("b", true, 7)));
        assertEquals(Set.of("b"), ordered.replacedBy(Set.of(), 6).domains());
        assertEquals(Set.of(), ordered.replacedBy(Set.of(), 8).domains());
    }

    @Test
    void aChangeThatAPeerReportedBeforeIsNotAppliedAgain() {
        EvacuationOrders lifted = EvacuationOrders.NONE.replacedBy(Set.of(), 9);
        assertEquals(Set.of(), lifted.after(List.of(change("b", true, 7))).domains());
    }

    /** One transaction of the store writes several keys at one revision. */
    @Test
    void ordersOfOneRevisionAllHold() {
        List<EvacuationOrders.Change> changes = List.of(change("b", true, 7), change("c", true, 7));
        assertEquals(Set.of("b", "c"), EvacuationOrders.NONE.after(changes).domains());
    }

    @Test
    void aHostThatHasReadNothingAdoptsThatNothingIsOrdered() {
        assertFalse(EvacuationOrders.NONE.isKnown());
        assertTrue(EvacuationOrders.NONE.replacedBy(Set.of(), 0).isKnown());
    }

    /**
     * Plays changes, stale listings and reports in random order at hosts that miss some of them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allHostsEndWithTheOrdersOfTheStore(long seed) {
        Random random = new Random(seed);
        List<EvacuationOrders> history =
                new ArrayList<>(List.of(new EvacuationOrders(Set.of(), 1)));
        EvacuationOrders[] hosts = new EvacuationOrders[HOSTS];
        java.util.Arrays.fill(hosts, EvacuationOrders.NONE);
        for (int revision = 2; revision < CHANGES; revision++) {
            Set<String> domains = new HashSet<>(history.get(history.size() - 1).domains());
            String domain = "d" + random.nextInt(3);
            boolean ordered = domains.add(domain) || !domains.remove(domain);
            history.add(new EvacuationOrders(domains, revision));
            for (int host = 0; host < HOSTS; host++) {
                EvacuationOrders other = hosts[random.nextInt(HOSTS)];
                EvacuationOrders stale = history.get(random.nextInt(history.size()));
                EvacuationOrders known = hosts[host];
                boolean isNext = known.revision() == revision - 1;
                if (isNext && random.nextBoolean()) {
                    known = known.after(List.of(change(domain, ordered, revision)));
                } else if (random.nextBoolean()) {
                    known = known.replacedBy(stale.domains(), stale.revision());
                } else {
                    known = known.replacedBy(other.domains(), other.revision());
                }
                assertTrue(known.revision() >= hosts[host].revision(), "went back");
                hosts[host] = known;
                EvacuationOrders truth =
                        known.isKnown() ? history.get((int) known.revision() - 1) : known;
                assertEquals(truth, known, "orders of revision " + known.revision());
            }
        }
        EvacuationOrders last = history.get(history.size() - 1);
        for (EvacuationOrders host : hosts) {
            assertEquals(last, host.replacedBy(last.domains(), last.revision()));
        }
    }

    @Test
    void targetsOfAnEvacuatedDomainAreNotReady() {
        TargetInstance in = target("t", "s", "b");
        TargetInstance out = target("u", "s", "a");
        TargetDirectory targets = new TargetDirectory(List.of(in, out), Set.of(), Set.of("b"));
        assertEquals(List.of(out), targets.readyTargets("s"));
        assertEquals(List.of(out), targets.targetsOutsideEvacuation());
        assertFalse(targets.isReady(in));
        assertTrue(targets.isReady(out));
        assertFalse(targets.isServiceEvacuated("s"));
    }

    @Test
    void aServiceIsEvacuatedWhenNoTargetOutsideIsReady() {
        TargetInstance in = target("t", "s", "b");
        TargetInstance leaving = target("u", "s", "a");
        TargetInstance other = target("v", "r", "a");
        TargetDirectory targets =
                new TargetDirectory(
                        List.of(in, leaving, other), Set.of(leaving.incarnation()), Set.of("b"));
        assertTrue(targets.isServiceEvacuated("s"));
        assertFalse(targets.isServiceEvacuated("r"));
        assertFalse(targets.isServiceEvacuated("unknown"));
    }
}
