package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.CallerKey;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.bundle.Model;
import org.sesamepin.core.bundle.Route;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.config.IniLineIndex;

/** Describes a bundle for the checks. */
final class BundleOutline {
    private static final String WILDCARD = "/*";

    private final Bundle mBundle;
    private final IniLineIndex mLines;

    BundleOutline(Bundle bundle, IniLineIndex lines) {
        mBundle = bundle;
        mLines = lines;
    }

    ConfigOutline describe() {
        List<ConfigOutline.TimeBound> timeBounds = new ArrayList<>();
        return new ConfigOutline(
                mBundle.version(),
                true,
                entry(
                        "bundle",
                        Map.of("preference", mBundle.preference().name().toLowerCase(Locale.ROOT))),
                true,
                mBundle.routes().stream().map(this::describe).toList(),
                describeCustomers(),
                describeServices(timeBounds),
                true,
                describeTargets(),
                timeBounds,
                List.of());
    }

    private ConfigEntry entry(String section, Map<String, String> settings) {
        return new ConfigEntry('[' + section + ']', mLines.lineOf(section, ""), settings);
    }

    private ConfigOutline.Route describe(Route route) {
        String path = route.path();
        boolean subtree = path.endsWith(WILDCARD);
        RouteMatch match =
                new RouteMatch(
                        subtree ? RouteMatch.Type.SUBTREE : RouteMatch.Type.EXACT,
                        "",
                        subtree ? path.substring(0, path.length() - WILDCARD.length()) : path);
        return new ConfigOutline.Route(
                entry(
                        "route " + route.name(),
                        Map.of(
                                "path", path,
                                "methods", String.join(" ", route.methods()),
                                "service", route.service(),
                                "open", String.valueOf(route.open()),
                                "idempotent", String.valueOf(route.idempotent()),
                                "timeout_ms", String.valueOf(route.timeoutMs()))),
                match,
                List.of(route.service()),
                route.open(),
                null);
    }

    private List<ConfigOutline.Customer> describeCustomers() {
        return mBundle.customers().values().stream()
                .map(this::describe)
                .sorted(Comparator.comparingInt(customer -> customer.entry().line()))
                .toList();
    }

    private ConfigOutline.Customer describe(Customer customer) {
        List<ConfigOutline.Key> keys =
                mBundle.keys().all().stream()
                        .filter(key -> key.customer().equals(customer.name()))
                        .map(this::describe)
                        .sorted(Comparator.comparingInt(key -> key.entry().line()))
                        .toList();
        return new ConfigOutline.Customer(
                entry(
                        "customer " + customer.name(),
                        Map.of(
                                "rate", Numbers.format(customer.rate()),
                                "burst", Numbers.format(customer.burst()),
                                "batch_item_cost", Numbers.format(customer.batchItemCost()),
                                "weight", String.valueOf(customer.weight()))),
                true,
                customer.rate(),
                customer.burst(),
                Math.max(1, customer.batchItemCost()),
                keys,
                null,
                customer.weight());
    }

    private ConfigOutline.Key describe(CallerKey key) {
        String digest = key.digest().hex();
        String section = "key " + key.id();
        ConfigEntry entry =
                new ConfigEntry(
                        '[' + section + ']',
                        mLines.lineOf(section, ""),
                        Map.of(
                                "customer", key.customer(),
                                "withdrawn", String.valueOf(key.withdrawn())),
                        Map.of("digest", digest));
        return new ConfigOutline.Key(entry, digest, key.withdrawn());
    }

    private List<ConfigOutline.Service> describeServices(List<ConfigOutline.TimeBound> bounds) {
        List<ConfigOutline.Service> services = new ArrayList<>();
        for (Model model : mBundle.models().values()) {
            ConfigEntry entry =
                    entry(
                            "model " + model.name(),
                            Map.of(
                                    "progress_timeout_ms",
                                    String.valueOf(model.progressTimeoutMs()),
                                    "queue_timeout_ms",
                                    String.valueOf(model.queueTimeoutMs()),
                                    "request_timeout_ms",
                                    String.valueOf(model.requestTimeoutMs())));
            services.add(new ConfigOutline.Service(entry, model.name(), false));
            bounds.add(bound(entry, "progress_timeout_ms", model.progressTimeoutMs(), model));
            bounds.add(bound(entry, "queue_timeout_ms", model.queueTimeoutMs(), model));
        }
        for (String name : mBundle.services()) {
            int line =
                    mBundle.targets().values().stream()
                            .filter(target -> target.serviceName().equals(name))
                            .mapToInt(target -> mLines.lineOf("target " + target.name(), "service"))
                            .min()
                            .orElse(0);
            ConfigEntry entry = new ConfigEntry("service " + name, line, Map.of());
            services.add(new ConfigOutline.Service(entry, name, true));
        }
        return services;
    }

    private static ConfigOutline.TimeBound bound(
            ConfigEntry entry, String name, long ms, Model model) {
        return new ConfigOutline.TimeBound(
                entry, name, ms, "request_timeout_ms", model.requestTimeoutMs());
    }

    private List<ConfigOutline.Target> describeTargets() {
        return mBundle.targets().values().stream()
                .map(this::describe)
                .sorted(Comparator.comparingInt(target -> target.entry().line()))
                .toList();
    }

    private ConfigOutline.Target describe(Target target) {
        String section = "target " + target.name();
        ConfigEntry entry =
                new ConfigEntry(
                        '[' + section + ']',
                        mLines.lineOf(section, ""),
                        Map.of(
                                "serves", target.serviceName(),
                                "protocol", target.protocol(),
                                "address", target.hostAndPort(),
                                "failure_domain", target.failureDomain(),
                                "slots", String.valueOf(target.slots()),
                                "leaving", String.valueOf(target.leaving())),
                        Map.of("credential", target.credential()));
        return new ConfigOutline.Target(
                entry,
                target.serviceName(),
                target.hostAndPort(),
                target.slots(),
                target.leaving());
    }
}
