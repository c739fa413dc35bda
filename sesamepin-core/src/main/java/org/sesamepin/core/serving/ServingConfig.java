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
 * One version of the configuration, immutable. A request looks up everything in one snapshot, so
 * that it never sees parts of two versions.
 */
public final class ServingConfig {
    /** The state before any configuration is known. */
    public static final ServingConfig NONE =
            new ServingConfig(0, List.of(), List.of(), null, ConnectionLimits.DEFAULT);

    private final long mVersion;
    private final Map<String, List<ServingRoute>> mRoutesByHost = new HashMap<>();
    private final Map<String, ServingRoute> mRoutesByName = new HashMap<>();
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final Map<String, CustomerSpec> mCustomersByKey = new HashMap<>();
    private final Map<String, CustomerSpec> mCustomers = new HashMap<>();
    private final boolean mKeysRequired;
    private final ConnectionLimits mBounds;

    /**
     * Creates a snapshot.
     *
     * @param customers the customers; null where no caller needs a key
     */
    public ServingConfig(
            long version,
            List<ServingRoute> routes,
            List<ServiceSpec> services,
            @Nullable List<CustomerSpec> customers,
            ConnectionLimits bounds) {
        mVersion = version;
        mBounds = bounds;
        for (ServingRoute route : routes) {
            String host = route.host().toLowerCase(Locale.ROOT);
            mRoutesByHost.computeIfAbsent(host, h -> new ArrayList<>()).add(route);
            mRoutesByName.put(route.name(), route);
        }
        Comparator<ServingRoute> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> mServices.put(service.name(), service));
        mKeysRequired = customers != null;
        if (customers != null) {
            customers.forEach(this::addCustomer);
        }
    }

    private void addCustomer(CustomerSpec customer) {
        mCustomers.put(customer.name(), customer);
        customer.keys().forEach(key -> mCustomersByKey.put(key, customer));
    }

    public long version() {
        return mVersion;
    }

    public ConnectionLimits connectionLimits() {
        return mBounds;
    }

    /** Tells whether a configuration is known at all. */
    public boolean isKnown() {
        return mVersion > 0;
    }

    /** Tells whether callers of routes that are not open need a key. */
    public boolean requiresKeys() {
        return mKeysRequired;
    }

    /** Returns the route with the longest prefix of {@code path}, or null when none matches. */
    public @Nullable ServingRoute findRoute(String host, String path) {
        List<ServingRoute> routes = mRoutesByHost.get(hostName(host));
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

    private static String hostName(String authority) {
        int colon = authority.indexOf(':');
        String name = colon < 0 ? authority : authority.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /** Returns the route {@code name}, or null. */
    public @Nullable ServingRoute routeByName(String name) {
        return mRoutesByName.get(name);
    }

    /** Returns the customer that holds {@code key}, or null. */
    public @Nullable CustomerSpec customerByKey(String key) {
        return mCustomersByKey.get(key);
    }

    /** Returns the customer {@code name}, or null. */
    public @Nullable CustomerSpec customer(String name) {
        return mCustomers.get(name);
    }

    /** Returns all customers by name. */
    public Map<String, CustomerSpec> customers() {
        return mCustomers;
    }

    /** Returns the service {@code name}, or null. */
    public @Nullable ServiceSpec service(String name) {
        return mServices.get(name);
    }

    /** Returns all services. */
    public Collection<ServiceSpec> services() {
        return mServices.values();
    }

    /** Returns all routes by name. */
    public Map<String, ServingRoute> routes() {
        return mRoutesByName;
    }
}
