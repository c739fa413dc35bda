package org.sesamepin.core.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.sesamepin.core.check.ConfigOutline.Customer;
import org.sesamepin.core.check.ConfigOutline.Key;
import org.sesamepin.core.check.ConfigOutline.Route;

/** Finds keys, limits and priorities of customers that have no effect or contradict each other. */
final class CustomerCheck {
    private static final long DEFAULT_BATCH_WEIGHT = 1;

    private CustomerCheck() {}

    static void check(ConfigOutline outline, List<Finding> findings) {
        checkKeys(outline.customers(), findings);
        for (Customer customer : outline.customers()) {
            if (customer.limited() && customer.burst() < customer.largestCost()) {
                findings.add(
                        Finding.of(
                                FindingCode.BURST_TOO_SMALL,
                                customer.entry(),
                                String.format(
                                        "burst %s is less than the %s that one admission takes, so"
                                                + " that it is refused",
                                        Numbers.format(customer.burst()),
                                        Numbers.format(customer.largestCost()))));
            }
        }
        checkBatchWeight(outline.customers(), findings);
        checkRanks(outline, findings);
    }

    private static void checkKeys(List<Customer> customers, List<Finding> findings) {
        Map<String, Customer> holders = new HashMap<>();
        for (Customer customer : customers) {
            if (customer.keys().stream().allMatch(Key::withdrawn)) {
                findings.add(
                        Finding.of(
                                FindingCode.CUSTOMER_WITHOUT_KEY,
                                customer.entry(),
                                "no key is in force for this customer"));
            }
            for (Key key : customer.keys()) {
                Customer holder = holders.putIfAbsent(key.identity(), customer);
                if (customer.equals(holder)) {
                    findings.add(
                            Finding.of(
                                    FindingCode.KEY_REPEATED,
                                    key.entry(),
                                    "the same key is listed twice"));
                } else if (holder != null) {
                    findings.add(
                            Finding.of(
                                    FindingCode.KEY_SHARED,
                                    key.entry(),
                                    String.format(
                                            "%s and %s hold the same key, so that one of them is"
                                                    + " never recognized by it",
                                            holder.entry().label(), customer.entry().label())));
                }
            }
        }
    }

    private static void checkBatchWeight(List<Customer> customers, List<Finding> findings) {
        if (customers.size() != 1) {
            return;
        }
        Customer only = customers.get(0);
        Long weight = only.batchWeight();
        if (weight != null && weight != DEFAULT_BATCH_WEIGHT) {
            findings.add(
                    Finding.of(
                            FindingCode.PRIORITY_UNUSED,
                            only.entry(),
                            "weight " + weight + " is compared with no other customer's"));
        }
    }

    private static void checkRanks(ConfigOutline outline, List<Finding> findings) {
        List<Customer> customers = outline.customers();
        boolean overridden =
                outline.keysRequired()
                        && !customers.isEmpty()
                        && customers.stream().allMatch(customer -> customer.rank() != null);
        Set<Integer> inUse = new TreeSet<>();
        for (Route route : outline.routes()) {
            Integer rank = route.rank();
            if (rank == null) {
                continue;
            }
            if (!overridden || route.open()) {
                inUse.add(rank);
            } else if (rank != 0) {
                findings.add(
                        Finding.of(
                                FindingCode.PRIORITY_UNUSED,
                                route.entry(),
                                "priority " + rank + " is overridden by each customer's own"));
            }
        }
        for (Customer customer : customers) {
            Integer rank = customer.rank();
            if (rank != null) {
                inUse.add(rank);
            }
        }
        if (inUse.size() == 1 && !inUse.contains(0)) {
            findings.add(
                    Finding.of(
                            FindingCode.PRIORITY_UNUSED,
                            outline.document(),
                            "all requests have the same priority "
                                    + inUse.iterator().next()
                                    + ", so that it has no effect"));
        }
    }
}
