package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the checks need to know about a configuration, whatever its format is.
 *
 * @param version version of the configuration
 * @param consecutiveVersions whether the next version has to be the one in force plus 1
 * @param document the values that belong to no other entry
 * @param keysRequired whether callers of routes that are not open need a key
 * @param routes in file order
 * @param customers the customers with their keys
 * @param services services and models
 * @param listsTargets whether targets are part of the configuration
 * @param targets the targets
 * @param timeBounds times that have to lie within others
 * @param minimums numbers that have a least value
 */
public record ConfigOutline(
        long version,
        boolean consecutiveVersions,
        ConfigEntry document,
        boolean keysRequired,
        List<Route> routes,
        List<Customer> customers,
        List<Service> services,
        boolean listsTargets,
        List<Target> targets,
        List<TimeBound> timeBounds,
        List<Minimum> minimums) {

    /**
     * A route.
     *
     * @param match the requests that it matches
     * @param services services with a positive weight
     * @param open whether callers need no key
     * @param rank priority, 0 is the highest; null where routes have none
     */
    public record Route(
            ConfigEntry entry,
            RouteMatch match,
            List<String> services,
            boolean open,
            @Nullable Integer rank) {}

    /**
     * A customer.
     *
     * @param limited whether its rate is limited
     * @param rate admissions per second
     * @param burst admissions at once
     * @param largestCost most tokens that one admission takes
     * @param keys its keys
     * @param rank priority that overrides the one of the route; null for none
     * @param batchWeight weight when batch slots are shared; null where customers have none
     */
    public record Customer(
            ConfigEntry entry,
            boolean limited,
            double rate,
            double burst,
            double largestCost,
            List<Key> keys,
            @Nullable Integer rank,
            @Nullable Long batchWeight) {}

    /**
     * A caller key.
     *
     * @param entry where it is written
     * @param identity equal for equal keys; never printed
     * @param withdrawn whether it has been withdrawn
     */
    public record Key(ConfigEntry entry, String identity, boolean withdrawn) {}

    /**
     * A service or model.
     *
     * @param name name that routes and targets use
     * @param needsRoute whether requests reach it through a route only
     */
    public record Service(ConfigEntry entry, String name, boolean needsRoute) {}

    /**
     * A target.
     *
     * @param service the service or model that it serves
     * @param address IP address and port
     * @param slots requests that it runs at once
     * @param leaving whether it gets no new requests
     */
    public record Target(
            ConfigEntry entry, String service, String address, int slots, boolean leaving) {}

    /**
     * A time that has no effect, or fails requests, when it is longer than another one.
     *
     * @param ms the time, milliseconds; 0 for none
     * @param boundMs the time that bounds it, milliseconds; 0 for none
     */
    public record TimeBound(
            ConfigEntry entry, String name, long ms, String boundName, long boundMs) {}

    /**
     * A number that has no meaning below a least value.
     *
     * @param least the least value
     */
    public record Minimum(ConfigEntry entry, String name, double value, double least) {}

    /** Returns all entries in the order of their types. */
    List<ConfigEntry> entries() {
        List<ConfigEntry> entries = new ArrayList<>();
        entries.add(document);
        customers.forEach(customer -> entries.add(customer.entry()));
        for (Customer customer : customers) {
            customer.keys().stream()
                    .map(Key::entry)
                    .filter(entry -> !entry.label().equals(customer.entry().label()))
                    .forEach(entries::add);
        }
        services.forEach(service -> entries.add(service.entry()));
        targets.forEach(target -> entries.add(target.entry()));
        routes.forEach(route -> entries.add(route.entry()));
        return entries;
    }
}
