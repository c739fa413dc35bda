package org.sesamepin.core.bundle;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.key.KeyRing;

/**
 * One version of the operators' configuration; immutable, so a request sees one version throughout.
 *
 * @param version grows by one with each roll
 * @param preference what weighs more when batch and online compete
 * @param customers by name
 * @param keys all caller keys
 * @param models by name
 * @param services names of the plain services
 * @param targets by name
 * @param routes in the order of the file; the first match counts
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
    /** Bundle of a node that has not seen any yet: it serves nobody. */
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

    /** Returns the first route for {@code path}, or null. */
    public @Nullable Route findRoute(String path) {
        for (Route route : routes) {
            if (route.matches(path)) {
                return route;
            }
        }
        return null;
    }

    /** Returns the targets that serve the model or service {@code name} and are not leaving. */
    public List<Target> targetsServing(String name) {
        return targets.values().stream()
                .filter(t -> t.serviceName().equals(name) && !t.leaving())
                .toList();
    }
}
