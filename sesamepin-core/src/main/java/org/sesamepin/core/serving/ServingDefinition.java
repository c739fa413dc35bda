package org.sesamepin.core.serving;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The entries of one version of the configuration as they are written, in file order and with
 * entries that another one replaces in the snapshot.
 *
 * @param version version of the configuration
 * @param routes the routes
 * @param services the services
 * @param customers the customers; null where callers need no API key
 * @param connectionLimits limits of callers' connections
 */
public record ServingDefinition(
        long version,
        List<ServingRoute> routes,
        List<ServiceSpec> services,
        @Nullable List<CustomerSpec> customers,
        ConnectionLimits connectionLimits) {
    /** Returns the snapshot that requests read. */
    public ServingConfig toConfig() {
        return new ServingConfig(version, routes, services, customers, connectionLimits);
    }
}
