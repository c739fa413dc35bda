package org.sesamepin.core.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards look-ups in a configuration: a wrong result sends requests to the wrong route or service,
 * or accepts a wrong key.
 */
class ServingConfigTest {
    static ServingRoute route(String name, String host, String prefix, ServiceShare... shares) {
        return new ServingRoute(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                100,
                0,
                List.of(shares),
                2,
                false,
                0,
                0,
                0,
                0);
    }

    private static final ServiceShare ONLY_SHARE = new ServiceShare("s", 1);
    private static final CustomerSpec CUSTOMER =
            new CustomerSpec("c", List.of("k1", "k2"), null, 10, 10);
    private static final ServingConfig CONFIG =
            new ServingConfig(
                    7,
                    List.of(
                            route("short", "h.example", "/a/", ONLY_SHARE),
                            route("long", "h.example", "/a/b/", ONLY_SHARE),
                            route("other", "i.example", "/a/b/c/", ONLY_SHARE)),
                    List.of(),
                    List.of(CUSTOMER),
                    ConnectionLimits.DEFAULT);

    private static String routeName(String host, String path) {
        ServingRoute route = CONFIG.findRoute(host, path);
        return route == null ? "none" : route.name();
    }

    @Test
    void findsLongestPrefixAmongRoutesOfHost() {
        assertEquals("short", routeName("h.example", "/a/x"));
        assertEquals("long", routeName("h.example", "/a/b/x"));
        assertEquals("long", routeName("h.example", "/a/b/c/x"));
        assertEquals("none", routeName("h.example", "/ab/x"));
        assertEquals("none", routeName("i.example", "/a/b/x"));
        assertEquals("none", routeName("j.example", "/a/x"));
    }

    @Test
    void ignoresCaseAndPortOfHost() {
        assertEquals("short", routeName("H.Example:80", "/a/x"));
    }

    @Test
    void findsCustomerByEachOfItsKeys() {
        assertNotNull(CONFIG.customerByKey("k1"));
        assertNotNull(CONFIG.customerByKey("k2"));
        assertNull(CONFIG.customerByKey("c"));
    }

    @Test
    void sharesDivideDrawsByWeight() {
        ServingRoute route =
                route("r", "h", "/", new ServiceShare("x", 9), new ServiceShare("y", 1));
        assertEquals("x", route.selectService(0));
        assertEquals("x", route.selectService(0.899));
        assertEquals("y", route.selectService(0.901));
        assertEquals("y", route.selectService(0.9999));
    }
}
