package org.sesamepin.core.bundle;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.config.ConfigException;
import org.sesamepin.core.config.IniReader;
import org.sesamepin.core.config.IniSection;
import org.sesamepin.core.key.KeyDigest;
import org.sesamepin.core.key.KeyRing;

/** Parses and validates a bundle; reports all problems at once. */
public final class BundleParser {
    /** Size limit of a bundle, in bytes: the platform's store holds values of up to a megabyte. */
    public static final int MAX_BYTES = 900_000;

    private static final String DEFAULT_MODEL_PROTOCOL = "openai";
    private static final String DEFAULT_SERVICE_PROTOCOL = "plain";

    private final IniReader mReader;

    private BundleParser(IniReader reader) {
        mReader = reader;
    }

    /** Parses {@code text}; problems are reported under the name {@code file}. */
    public static Bundle parse(String file, String text) throws ConfigException {
        IniReader reader = new IniReader(file, BundleProperties.SCHEMAS).read(text, MAX_BYTES);
        if (!reader.isReadable()) {
            reader.throwIfProblems();
        }
        return new BundleParser(reader).build();
    }

    private Bundle build() throws ConfigException {
        IniSection bundleSection = mReader.section("bundle");
        long version = bundleSection.get(BundleProperties.VERSION);
        Preference preference = bundleSection.get(BundleProperties.PREFERENCE);
        Map<String, Customer> customers = parseCustomers();
        List<CallerKey> keys = parseKeys(customers);
        Map<String, Model> models = parseModels();
        Map<String, Target> targets = parseTargets(models);
        List<String> services =
                targets.values().stream()
                        .map(Target::serviceName)
                        .filter(service -> !models.containsKey(service))
                        .distinct()
                        .toList();
        List<Route> routes = parseRoutes(services);
        mReader.throwIfProblems();
        return new Bundle(
                version,
                preference,
                Map.copyOf(customers),
                new KeyRing(keys),
                Map.copyOf(models),
                services,
                Map.copyOf(targets),
                List.copyOf(routes));
    }

    private Map<String, Customer> parseCustomers() {
        Map<String, Customer> customers = new LinkedHashMap<>();
        for (IniSection section : mReader.sections("customer")) {
            customers.put(
                    section.name(),
                    new Customer(
                            section.name(),
                            section.get(BundleProperties.RATE),
                            section.get(BundleProperties.BURST),
                            section.get(BundleProperties.BATCH_ITEM_COST),
                            section.get(BundleProperties.WEIGHT)));
        }
        return customers;
    }

    private List<CallerKey> parseKeys(Map<String, Customer> customers) {
        List<CallerKey> keys = new ArrayList<>();
        for (IniSection section : mReader.sections("key")) {
            String customer = section.get(BundleProperties.CUSTOMER);
            if (!customer.isEmpty() && !customers.containsKey(customer)) {
                section.addProblem(
                        BundleProperties.CUSTOMER,
                        customer,
                        "no section [customer " + customer + "]");
            }
            keys.add(
                    new CallerKey(
                            section.name(),
                            customer,
                            KeyDigest.ofHex(section.get(BundleProperties.DIGEST)),
                            section.get(BundleProperties.WITHDRAWN)));
        }
        return keys;
    }

    private Map<String, Model> parseModels() {
        Map<String, Model> models = new LinkedHashMap<>();
        for (IniSection section : mReader.sections("model")) {
            models.put(
                    section.name(),
                    new Model(
                            section.name(),
                            section.get(BundleProperties.PROGRESS_TIMEOUT_MS),
                            section.get(BundleProperties.QUEUE_TIMEOUT_MS),
                            section.get(BundleProperties.REQUEST_TIMEOUT_MS)));
        }
        return models;
    }

    private Map<String, Target> parseTargets(Map<String, Model> models) {
        Map<String, Target> targets = new LinkedHashMap<>();
        for (IniSection section : mReader.sections("target")) {
            String model = section.get(BundleProperties.MODEL);
            String service = section.get(BundleProperties.TARGET_SERVICE);
            if (model.isEmpty() == service.isEmpty()) {
                section.addProblem(
                        BundleProperties.MODEL, model, "set either a model or a service");
            }
            if (!model.isEmpty() && !models.containsKey(model)) {
                section.addProblem(
                        BundleProperties.MODEL, model, "no section [model " + model + "]");
            }
            String defaultProtocol =
                    model.isEmpty() ? DEFAULT_SERVICE_PROTOCOL : DEFAULT_MODEL_PROTOCOL;
            String protocol = section.get(BundleProperties.PROTOCOL);
            targets.put(
                    section.name(),
                    new Target(
                            section.name(),
                            model.isEmpty() ? service : model,
                            protocol.isEmpty() ? defaultProtocol : protocol,
                            section.get(BundleProperties.ADDRESS),
                            section.get(BundleProperties.FAILURE_DOMAIN),
                            section.get(BundleProperties.SLOTS).intValue(),
                            section.get(BundleProperties.CREDENTIAL),
                            section.get(BundleProperties.LEAVING)));
        }
        return targets;
    }

    private List<Route> parseRoutes(List<String> services) {
        List<Route> routes = new ArrayList<>();
        for (IniSection section : mReader.sections("route")) {
            String service = section.get(BundleProperties.SERVICE);
            if (!service.isEmpty() && !services.contains(service)) {
                section.addProblem(
                        BundleProperties.SERVICE, service, "no target serves this service");
            }
            String path = section.get(BundleProperties.PATH);
            if (path.startsWith("/v1/")) {
                section.addProblem(
                        BundleProperties.PATH,
                        path,
                        "paths under /v1/ are reserved for the model API");
            }
            routes.add(
                    new Route(
                            section.name(),
                            path,
                            section.get(BundleProperties.METHODS),
                            service,
                            section.get(BundleProperties.OPEN),
                            section.get(BundleProperties.IDEMPOTENT),
                            section.get(BundleProperties.TIMEOUT_MS)));
        }
        return routes;
    }
}
