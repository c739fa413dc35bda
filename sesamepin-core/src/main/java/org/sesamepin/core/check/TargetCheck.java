package org.sesamepin.core.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sesamepin.core.check.ConfigOutline.Customer;
import org.sesamepin.core.check.ConfigOutline.Service;
import org.sesamepin.core.check.ConfigOutline.Target;

/**
 * Finds services without targets, and rates that the targets cannot run. Applies to configurations
 * that list their targets.
 */
final class TargetCheck {
    /**
     * Least time for which a request occupies a slot, milliseconds. It is below what a call over
     * HTTP to another machine takes, so that a rate that needs less is certainly too high.
     */
    private static final double MIN_SLOT_TIME_MS = 1;

    private static final double MS_PER_SECOND = 1_000;

    private TargetCheck() {}

    static void check(ConfigOutline outline, List<Finding> findings) {
        if (!outline.listsTargets()) {
            return;
        }
        Set<String> served = new HashSet<>();
        Map<String, Target> byAddress = new HashMap<>();
        long slots = 0;
        for (Target target : outline.targets()) {
            Target other = byAddress.putIfAbsent(target.address(), target);
            if (other != null) {
                findings.add(
                        Finding.of(
                                FindingCode.ADDRESS_SHARED,
                                target.entry(),
                                String.format(
                                        "%s has the same address %s, so that its slots count twice",
                                        other.entry().label(), target.address())));
            }
            if (!target.leaving()) {
                served.add(target.service());
                slots += target.slots();
            }
        }
        for (Service service : outline.services()) {
            if (!served.contains(service.name())) {
                findings.add(
                        Finding.of(
                                FindingCode.NO_TARGETS,
                                service.entry(),
                                "no target takes new requests for '" + service.name() + "'"));
            }
        }
        checkRates(outline, slots, findings);
    }

    private static void checkRates(ConfigOutline outline, long slots, List<Finding> findings) {
        double capacityPerS = slots * MS_PER_SECOND / MIN_SLOT_TIME_MS;
        double totalRate = 0;
        for (Customer customer : outline.customers()) {
            totalRate += customer.rate();
            if (slots > 0 && customer.rate() > capacityPerS) {
                findings.add(
                        Finding.of(
                                FindingCode.RATE_OVER_CAPACITY,
                                customer.entry(),
                                String.format(
                                        "rate %s/s is more than the %d slots of all targets can"
                                                + " run, even at %s ms per request",
                                        Numbers.format(customer.rate()),
                                        slots,
                                        Numbers.format(MIN_SLOT_TIME_MS))));
            }
        }
        if (slots > 0 && totalRate > 0) {
            double neededMs = Math.floor(slots * MS_PER_SECOND / totalRate * 10) / 10;
            findings.add(
                    Finding.of(
                            FindingCode.RATE_TOTAL,
                            outline.document(),
                            String.format(
                                    "the customers' rates sum to %s/s on %d slots; for all of it a"
                                            + " request may occupy a slot for %s ms on average",
                                    Numbers.format(totalRate), slots, Numbers.format(neededMs))));
        }
    }
}
