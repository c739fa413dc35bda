package org.sesamepin.node.online;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.CallerKey;
import org.sesamepin.core.bundle.Customer;

/**
 * Identity of the caller of one request, and the bundle under which the request runs.
 *
 * @param bundle the configuration that applies to the request until it ends
 * @param key the key that the request presented; null on an open route
 * @param secret the key's secret, kept only so that it is not forwarded to targets; empty when the
 *     request presented none
 * @param customer the customer of the key; null on an open route
 */
public record CallerIdentity(
        Bundle bundle, @Nullable CallerKey key, String secret, @Nullable Customer customer) {
    /**
     * Returns the customer's name, as used in logs and as the key of fair queues; {@code "-"} when
     * there is no customer.
     */
    public String customerName() {
        return customer == null ? "-" : customer.name();
    }

    @Override
    public String toString() {
        return "CallerIdentity[" + customerName() + "]";
    }
}
