package org.sesamepin.core.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingDefinition;
import org.sesamepin.core.serving.ServingRoute;

/** Guards against faults of a configuration of routes that the check misses. */
class ServingCheckTest {
    private static final CustomerSpec NORTH = new CustomerSpec("north", List.of("k1"), null, 5, 10);

    private static ServingRoute route(String name, String host, String prefix, int rank) {
        return route(name, host, prefix, rank, 1_000, 500, 1);
    }

    private static ServingRoute route(
            String name,
            String host,
            String prefix,
            int rank,
            long timeoutMs,
            long objectiveMs,
            int weight) {
        return new ServingRoute(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                timeoutMs,
                objectiveMs,
                rank,
                List.of(new ServiceShare("s", weight)),
                2,
                false,
                0,
                0,
                0,
                0);
    }

    private static ServingDefinition definition(
            long version, List<ServingRoute> routes, @Nullable List<CustomerSpec> customers) {
        return new ServingDefinition(
                version,
                routes,
                List.of(new ServiceSpec("s", 4)),
                customers,
                ConnectionLimits.DEFAULT);
    }

    /** Returns the code and the entry of each finding, sorted as in a report. */
    private static List<String> check(
            ServingDefinition definition, @Nullable ServingDefinition inForce) {
        return new CheckReport("f", ServingCheck.check(definition, inForce))
                .findings().stream().map(f -> f.code().label() + ' ' + f.entry()).toList();
    }

    private static List<String> check(ServingRoute... routes) {
        return check(definition(1, List.of(routes), List.of(NORTH)), null);
    }

    private static List<String> check(CustomerSpec... customers) {
        List<ServingRoute> routes = List.of(route("a", "h", "/a/", 0));
        return check(definition(1, routes, List.of(customers)), null);
    }

    @Test
    void soundConfigurationHasNoFindings() {
        assertEquals(List.of(), check(route("all", "h", "/", 0), route("a", "h", "/a/", 0)));
    }

    /** The longest prefix applies, so that only an equal one hides a route. */
    @Test
    void equalPrefixOfTheSameHostHidesALaterRoute() {
        assertEquals(
                List.of("route-hidden route b"),
                check(
                        route("a", "Host", "/a/", 0),
                        route("b", "host", "/a/", 0),
                        route("c", "other", "/a/", 0)));
    }

    @Test
    void routesThatMatchNothingAreNamed() {
        assertEquals(
                List.of(
                        "route-unmatchable route no-host",
                        "route-unmatchable route no-slash",
                        "route-unmatchable route port",
                        "path-literal route half"),
                check(
                        route("port", "h:80", "/", 0),
                        route("no-slash", "h", "a/", 0),
                        route("no-host", "", "/", 0),
                        route("half", "h", "/half", 0)));
    }

    @Test
    void namesThatOccurTwiceAreErrors() {
        assertEquals(
                List.of("duplicate-name route a"),
                check(route("a", "h", "/a/", 0), route("a", "h", "/b/", 0)));
    }

    @Test
    void serviceWithoutWeightIsNeitherSentToNorUsed() {
        assertEquals(
                List.of("no-weight route a", "service-unused service s"),
                check(route("a", "h", "/a/", 0, 1_000, 500, 0)));
    }

    @Test
    void objectiveOverTheTimeoutIsNamedOnlyWhenThereIsATimeout() {
        assertEquals(
                List.of("time-over-bound route a"),
                check(
                        route("a", "h", "/a/", 0, 400, 500, 1),
                        route("b", "h", "/b/", 0, 0, 500, 1)));
    }

    @Test
    void keyOfTwoCustomersIsAnErrorAndNeverQuoted() {
        CustomerSpec south = new CustomerSpec("south", List.of("k1", "k2", "k2"), null, 0, 0);
        List<ServingRoute> routes = List.of(route("a", "h", "/a/", 0));
        List<Finding> findings =
                ServingCheck.check(definition(1, routes, List.of(NORTH, south)), null);
        assertEquals(2, findings.size());
        assertEquals(
                List.of("key-shared customer south", "key-repeated customer south"),
                check(NORTH, south));
        assertEquals(0, findings.stream().filter(finding -> finding.text().contains("k1")).count());
    }

    /** A bucket that holds less than one token never admits a request. */
    @Test
    void burstUnderOneRequestIsAnErrorOnlyForALimitedCustomer() {
        assertEquals(
                List.of("burst-too-small customer low"),
                check(
                        new CustomerSpec("low", List.of("a"), null, 5, 0),
                        new CustomerSpec("free", List.of("b"), null, 0, 0)));
    }

    /** A negative rate counts as no limit, which nobody means by it. */
    @Test
    void negativeNumbersAreErrors() {
        assertEquals(
                List.of("out-of-range customer low"),
                check(new CustomerSpec("low", List.of("a"), null, -5, 1)));
        assertEquals(
                List.of("out-of-range route a", "out-of-range route a"),
                check(route("a", "h", "/a/", -1, -1, 500, 1), route("b", "h", "/b/", 0)));
        assertEquals(
                List.of("out-of-range "),
                check(definition(0, List.of(route("a", "h", "/a/", 0)), null), null));
    }

    @Test
    void prioritiesThatDecideNothingAreNoted() {
        CustomerSpec ranked = new CustomerSpec("north", List.of("k1"), 2, 5, 10);
        List<ServingRoute> routes = List.of(route("a", "h", "/a/", 3));
        assertEquals(
                List.of("priority-unused ", "priority-unused route a"),
                check(definition(1, routes, List.of(ranked)), null));
        assertEquals(
                List.of("priority-unused "), check(definition(1, routes, List.of(NORTH)), null));
        assertEquals(List.of(), check(route("a", "h", "/a/", 3), route("b", "h", "/b/", 0)));
    }

    @Test
    void changedKeysAreNamedWithoutTheirText() {
        List<ServingRoute> routes = List.of(route("a", "h", "/a/", 0));
        CustomerSpec renewed = new CustomerSpec("north", List.of("k9"), null, 5, 10);
        List<Finding> findings =
                ServingCheck.check(
                        definition(7, routes, List.of(renewed)),
                        definition(6, routes, List.of(NORTH)));
        assertEquals(
                List.of("note changed f customer north: key list changed"),
                findings.stream().map(finding -> finding.describe("f")).toList());
    }

    @Test
    void versionHasToRise() {
        List<ServingRoute> before = List.of(route("a", "h", "/a/", 0));
        List<ServingRoute> after = List.of(route("a", "h", "/b/", 0));
        assertEquals(
                List.of("version-not-newer ", "changed route a"),
                check(definition(6, after, null), definition(6, before, null)));
        assertEquals(
                List.of("changed route a"),
                check(definition(9, after, null), definition(6, before, null)));
        assertEquals(
                List.of("compared "),
                check(definition(6, before, null), definition(6, before, null)));
    }
}
