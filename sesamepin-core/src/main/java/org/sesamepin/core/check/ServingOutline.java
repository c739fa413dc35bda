package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.sesamepin.core.check.ConfigOutline.Minimum;
import org.sesamepin.core.check.ConfigOutline.TimeBound;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingDefinition;
import org.sesamepin.core.serving.ServingRoute;

/** Describes the configuration of a fleet that serves HTTP routes for the checks. */
final class ServingOutline {
    private final ServingDefinition mDefinition;
    private final List<TimeBound> mTimeBounds = new ArrayList<>();
    private final List<Minimum> mMinimums = new ArrayList<>();

    ServingOutline(ServingDefinition definition) {
        mDefinition = definition;
    }

    ConfigOutline describe() {
        ConfigEntry document = describeDocument();
        List<CustomerSpec> customers = mDefinition.customers();
        return new ConfigOutline(
                mDefinition.version(),
                false,
                document,
                customers != null,
                mDefinition.routes().stream().map(this::describe).toList(),
                customers == null ? List.of() : customers.stream().map(this::describe).toList(),
                mDefinition.services().stream().map(this::describe).toList(),
                false,
                List.of(),
                mTimeBounds,
                mMinimums);
    }

    private ConfigEntry describeDocument() {
        ConnectionLimits limits = mDefinition.connectionLimits();
        ConfigEntry entry =
                new ConfigEntry(
                        "",
                        0,
                        Map.of(
                                "keys required",
                                String.valueOf(mDefinition.customers() != null),
                                "header bytes",
                                String.valueOf(limits.maxHeaderBytes()),
                                "body bytes",
                                String.valueOf(limits.maxBodyBytes()),
                                "header timeout ms",
                                String.valueOf(limits.headerTimeoutMs()),
                                "idle timeout ms",
                                String.valueOf(limits.idleTimeoutMs())));
        mMinimums.add(new Minimum(entry, "version", mDefinition.version(), 1));
        mMinimums.add(new Minimum(entry, "maximum of header bytes", limits.maxHeaderBytes(), 1));
        mMinimums.add(new Minimum(entry, "maximum of body bytes", limits.maxBodyBytes(), 1));
        mMinimums.add(new Minimum(entry, "header timeout", limits.headerTimeoutMs(), 1));
        mMinimums.add(new Minimum(entry, "idle timeout", limits.idleTimeoutMs(), 1));
        return entry;
    }

    private ConfigOutline.Route describe(ServingRoute route) {
        ConfigEntry entry = new ConfigEntry("route " + route.name(), 0, settings(route));
        addTimes(entry, route);
        mMinimums.add(new Minimum(entry, "number of attempts", route.maxAttempts(), 1));
        mMinimums.add(new Minimum(entry, "priority", route.rank(), 0));
        mMinimums.add(new Minimum(entry, "maximum of queued tokens", route.maxQueuedTokens(), 0));
        for (ServiceShare share : route.shares()) {
            mMinimums.add(new Minimum(entry, "weight of " + share.service(), share.weight(), 0));
        }
        RouteMatch match =
                new RouteMatch(RouteMatch.Type.LONGEST_PREFIX, route.host(), route.prefix());
        return new ConfigOutline.Route(
                entry,
                match,
                route.services().stream().sorted().toList(),
                route.open(),
                route.rank());
    }

    private void addTimes(ConfigEntry entry, ServingRoute route) {
        long timeoutMs = route.timeoutMs();
        long objectiveMs = route.latencyObjectiveMs();
        mTimeBounds.add(
                new TimeBound(entry, "latency objective", objectiveMs, "timeout", timeoutMs));
        mTimeBounds.add(
                new TimeBound(
                        entry,
                        "maximum event interval",
                        route.maxEventIntervalMs(),
                        "timeout",
                        timeoutMs));
        mTimeBounds.add(
                new TimeBound(
                        entry,
                        "completion objective",
                        route.completionMs(),
                        "retention",
                        route.retentionMs()));
        mMinimums.add(new Minimum(entry, "timeout", timeoutMs, 0));
        mMinimums.add(new Minimum(entry, "latency objective", objectiveMs, 0));
        mMinimums.add(new Minimum(entry, "maximum event interval", route.maxEventIntervalMs(), 0));
        mMinimums.add(new Minimum(entry, "completion objective", route.completionMs(), 0));
        mMinimums.add(new Minimum(entry, "retention", route.retentionMs(), 0));
    }

    private static Map<String, String> settings(ServingRoute route) {
        Map<String, String> settings = new TreeMap<>();
        settings.put("host", route.host());
        settings.put("prefix", route.prefix());
        settings.put("kind", route.kind().name().toLowerCase(Locale.ROOT));
        settings.put("timeout ms", String.valueOf(route.timeoutMs()));
        settings.put("latency objective ms", String.valueOf(route.latencyObjectiveMs()));
        settings.put("priority", String.valueOf(route.rank()));
        settings.put("attempts", String.valueOf(route.maxAttempts()));
        settings.put("open", String.valueOf(route.open()));
        settings.put("event interval ms", String.valueOf(route.maxEventIntervalMs()));
        settings.put("completion ms", String.valueOf(route.completionMs()));
        settings.put("retention ms", String.valueOf(route.retentionMs()));
        settings.put("queued tokens", String.valueOf(route.maxQueuedTokens()));
        for (ServiceShare share : route.shares()) {
            settings.put("weight of " + share.service(), String.valueOf(share.weight()));
        }
        return settings;
    }

    private ConfigOutline.Customer describe(CustomerSpec customer) {
        Map<String, String> settings = new TreeMap<>();
        Integer rank = customer.rank();
        settings.put("keys", String.valueOf(customer.keys().size()));
        settings.put("rate", Numbers.format(customer.ratePerS()));
        settings.put("burst", Numbers.format(customer.burst()));
        if (rank != null) {
            settings.put("priority", String.valueOf(rank));
        }
        String keyList = String.join("\n", customer.keys().stream().sorted().toList());
        ConfigEntry entry =
                new ConfigEntry(
                        "customer " + customer.name(), 0, settings, Map.of("key list", keyList));
        mMinimums.add(new Minimum(entry, "rate", customer.ratePerS(), 0));
        mMinimums.add(new Minimum(entry, "burst", customer.burst(), 0));
        mMinimums.add(new Minimum(entry, "priority", rank == null ? 0 : rank, 0));
        return new ConfigOutline.Customer(
                entry,
                customer.isLimited(),
                customer.ratePerS(),
                customer.burst(),
                1,
                customer.keys().stream()
                        .map(key -> new ConfigOutline.Key(entry, key, false))
                        .toList(),
                rank,
                null);
    }

    private ConfigOutline.Service describe(ServiceSpec service) {
        ConfigEntry entry =
                new ConfigEntry(
                        "service " + service.name(),
                        0,
                        Map.of(
                                "slots", String.valueOf(service.slots()),
                                "coldStartMs", String.valueOf(service.coldStartMs()),
                                "coldPerS", String.valueOf(service.coldPerS())));
        mMinimums.add(new Minimum(entry, "slots", service.slots(), 0));
        mMinimums.add(new Minimum(entry, "coldStartMs", service.coldStartMs(), 0));
        mMinimums.add(new Minimum(entry, "coldPerS", service.coldPerS(), 0));
        return new ConfigOutline.Service(entry, service.name(), true);
    }
}
