package org.sesamepin.core.check;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sesamepin.core.check.ConfigOutline.Route;
import org.sesamepin.core.check.ConfigOutline.Service;

/** Finds routes that match nothing, and services that routes name wrongly or not at all. */
final class RouteCheck {
    private RouteCheck() {}

    static void check(ConfigOutline outline, List<Finding> findings) {
        Set<String> routed = new HashSet<>();
        Set<String> known = new HashSet<>();
        outline.services().forEach(service -> known.add(service.name()));
        for (int i = 0; i < outline.routes().size(); i++) {
            Route route = outline.routes().get(i);
            checkMatch(route, outline.routes().subList(0, i), findings);
            checkServices(route, known, findings);
            routed.addAll(route.services());
        }
        for (Service service : outline.services()) {
            if (service.needsRoute() && !routed.contains(service.name())) {
                findings.add(
                        Finding.of(
                                FindingCode.SERVICE_UNUSED,
                                service.entry(),
                                "no route sends requests to this service"));
            }
        }
    }

    private static void checkMatch(Route route, List<Route> earlier, List<Finding> findings) {
        String mismatch = route.match().describeMismatch();
        if (mismatch != null) {
            findings.add(Finding.of(FindingCode.ROUTE_UNMATCHABLE, route.entry(), mismatch));
            return;
        }
        String literal = route.match().describeLiteral();
        if (literal != null) {
            findings.add(Finding.of(FindingCode.PATH_LITERAL, route.entry(), literal));
        }
        for (Route other : earlier) {
            if (other.match().hides(route.match())) {
                findings.add(
                        Finding.of(
                                FindingCode.ROUTE_HIDDEN,
                                route.entry(),
                                String.format(
                                        "gets no request: %s comes first and matches %s, whatever"
                                                + " the method is",
                                        other.entry().label(), other.match())));
                return;
            }
        }
    }

    private static void checkServices(Route route, Set<String> known, List<Finding> findings) {
        if (route.services().isEmpty()) {
            findings.add(
                    Finding.of(
                            FindingCode.NO_WEIGHT,
                            route.entry(),
                            "no service of the route has a weight above 0"));
        }
        for (String service : route.services()) {
            if (!known.contains(service)) {
                findings.add(
                        Finding.of(
                                FindingCode.UNKNOWN_SERVICE,
                                route.entry(),
                                "service '" + service + "' is not configured"));
            }
        }
    }
}
