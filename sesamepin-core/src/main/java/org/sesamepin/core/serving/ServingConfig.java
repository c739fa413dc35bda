package org.sesamepin.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Immutable snapshot of one version of the configuration. A request uses a single snapshot for all
 * lookups, so that it never mixes two versions.
 */
public final class ServingConfig {
    /** The empty configuration that applies until one is loaded. */
    public static final ServingConfig NONE =
            new ServingConfig(0, List.of(), List.of(), null, ConnectionLimits.DEFAULT);

    private final long mVersion;
    private final Map<String, List<ServingRoute>> mRoutesByHost = new HashMap<>();
    private final Map<String, ServingRoute> mRoutesByName = new HashMap<>();
    private final Map<String, ServiceSpec> mServicesByName = new HashMap<>();
    private final Map<String, CustomerSpec> mCustomersByKey = new HashMap<>();
    private final Map<String, CustomerSpec> mCustomersByName = new HashMap<>();
    private final boolean mKeysRequired;
    private final ConnectionLimits mConnectionLimits;

    /**
     * Creates a snapshot.
     *
     * @param version version of the configuration; 0 when none is loaded
     * @param customers the customers; null where callers need no API key
     */
    public ServingConfig(
            long version,
            List<ServingRoute> routes,
            List<ServiceSpec> services,
            @Nullable List<CustomerSpec> customers,
            ConnectionLimits connectionLimits) {
        mVersion = version;
        mConnectionLimits = connectionLimits;
        for (ServingRoute route : routes) {
            String host = route.host().toLowerCase(Locale.ROOT);
            mRoutesByHost.computeIfAbsent(host, h -> new ArrayList<>()).add(route);
            mRoutesByName.put(route.name(), route);
        }
        Comparator<ServingRoute> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> mServicesByName.put(service.name(), service));
        mKeysRequired = customers != null;
        if (customers != null) {
            customers.forEach(this::addCustomer);
        }
    }

    private void addCustomer(CustomerSpec customer) {
        mCustomersByName.put(customer.name(), customer);
        customer.keys().forEach(key -> mCustomersByKey.put(key, customer));
    }

    public long version() {
        return mVersion;
    }

    public ConnectionLimits connectionLimits() {
        return mConnectionLimits;
    }

    /** Returns whether a configuration is loaded. */
    public boolean isKnown() {
        return mVersion > 0;
    }

    /** Returns whether callers of routes that are not open need an API key. */
    public boolean requiresKeys() {
        return mKeysRequired;
    }

    /**
     * Returns the route of {@code host} with the longest prefix of {@code path}, or null when none
     * matches.
     *
     * @param host host name in any case, with or without a port
     */
    public @Nullable ServingRoute findRoute(String host, String path) {
        List<ServingRoute> routes = mRoutesByHost.get(hostWithoutPort(host));
        if (routes == null) {
            return null;
        }
        for (ServingRoute route : routes) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }

    private static String hostWithoutPort(String authority) {
        int colon = authority.indexOf(':');
        String name = colon < 0 ? authority : authority.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /** Returns the route with {@code name}, or null. */
    public @Nullable ServingRoute routeByName(String name) {
        return mRoutesByName.get(name);
    }

    /** Returns the customer with the API key {@code key}, or null. */
    public @Nullable CustomerSpec customerByKey(String key) {
        return mCustomersByKey.get(key);
    }

    /** Returns the customer with {@code name}, or null. */
    public @Nullable CustomerSpec customer(String name) {
        return mCustomersByName.get(name);
    }

    /** Returns all customers by name. */
    public Map<String, CustomerSpec> customers() {
        return mCustomersByName;
    }

    /** Returns the service with {@code name}, or null. */
    public @Nullable ServiceSpec service(String name) {
        return mServicesByName.get(name);
    }

    /** Returns all services. */
    public Collection<ServiceSpec> services() {
        return mServicesByName.values();
    }

    /** Returns all routes by name. */
    public Map<String, ServingRoute> routes() {
        return mRoutesByName;
    }
}
