package org.sesamepin.core.bundle;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.key.KeyRing;

/**
 * One version of the operators' configuration. Immutable, so that a request is handled under a
 * single version.
 *
 * @param version number of the version; grows by one with each rollout
 * @param preference whether batch throughput or online latency matters more
 * @param customers by name
 * @param keys the caller keys
 * @param models by name
 * @param services names of the plain services, those that are not models
 * @param targets by name
 * @param routes in file order; the first one that matches applies
 */
public record Bundle(
        long version,
        Preference preference,
        Map<String, Customer> customers,
        KeyRing keys,
        Map<String, Model> models,
        List<String> services,
        Map<String, Target> targets,
        List<Route> routes) {
    /** Used by a node until it has received a bundle; with it, no request is served. */
    public static final Bundle EMPTY =
            new Bundle(
                    0,
                    Preference.THROUGHPUT,
                    Map.of(),
                    new KeyRing(List.of()),
                    Map.of(),
                    List.of(),
                    Map.of(),
                    List.of());

    /** Returns the first route that matches {@code path}, or null. */
    public @Nullable Route findRoute(String path) {
        for (Route route : routes) {
            if (route.matches(path)) {
                return route;
            }
        }
        return null;
    }

    /**
     * Returns the targets that serve the model or plain service {@code name} and accept new work.
     */
    public List<Target> targetsServing(String name) {
        return targets.values().stream()
                .filter(t -> t.serviceName().equals(name) && !t.leaving())
                .toList();
    }
}
