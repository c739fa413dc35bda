package org.sesamepin.node.online;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.CallerKey;
import org.sesamepin.core.bundle.Customer;

/**
 * Who sent a request, under which bundle.
 *
 * @param bundle the bundle the request sees throughout
 * @param key the key it came with; null on a route open to all
 * @param secret the key's secret, kept only to hold it back from targets; empty when there is none
 * @param customer the customer for whom it runs; null on a route open to all
 */
public record CallerIdentity(
        Bundle bundle, @Nullable CallerKey key, String secret, @Nullable Customer customer) {
    /** Returns the customer's name for logs and fair queues. */
    public String customerName() {
        return customer == null ? "-" : customer.name();
    }

    @Override
    public String toString() {
        return "CallerIdentity[" + customerName() + "]";
    }
}
