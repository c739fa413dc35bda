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

/** Parses and checks a bundle; reports all faults at once. */
public final class BundleParser {
    /** Largest bundle: the platform's service holds values up to a megabyte. */
    public static final int MAX_BYTES = 900_000;

    private static final String MODEL_PROTOCOL = "openai";
    private static final String SERVICE_PROTOCOL = "plain";

    private final IniReader mReader;

    private BundleParser(IniReader reader) {
        mReader = reader;
    }

    /** Parses {@code text}; {@code file} is named in the faults. */
    public static Bundle parse(String file, String text) throws ConfigException {
        IniReader reader = new IniReader(file, BundleProperties.SCHEMAS).read(text, MAX_BYTES);
        return new BundleParser(reader).build();
    }

    private Bundle build() throws ConfigException {
        IniSection head = mReader.section("bundle");
        long version = head.get(BundleProperties.VERSION);
        Preference preference = head.get(BundleProperties.PREFERENCE);
        Map<String, Customer> customers = customers();
        List<CallerKey> keys = keys(customers);
        Map<String, Model> models = models();
        Map<String, Target> targets = targets(models);
        List<String> services =
                targets.values().stream()
                        .map(Target::serviceName)
                        .filter(s -> !models.containsKey(s))
                        .distinct()
                        .toList();
        List<Route> routes = routes(services);
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

    private Map<String, Customer> customers() {
        Map<String, Customer> customers = new LinkedHashMap<>();
        for (IniSection s : mReader.sections("customer")) {
            customers.put(
                    s.name(),
                    new Customer(
                            s.name(),
                            s.get(BundleProperties.RATE),
                            s.get(BundleProperties.BURST),
                            s.get(BundleProperties.BATCH_ITEM_COST),
                            s.get(BundleProperties.WEIGHT)));
        }
        return customers;
    }

    private List<CallerKey> keys(Map<String, Customer> customers) {
        List<CallerKey> keys = new ArrayList<>();
        for (IniSection s : mReader.sections("key")) {
            String customer = s.get(BundleProperties.CUSTOMER);
            if (!customer.isEmpty() && !customers.containsKey(customer)) {
                s.addProblem(
                        BundleProperties.CUSTOMER,
                        customer,
                        "no section [customer " + customer + "]");
            }
            keys.add(
                    new CallerKey(
                            s.name(),
                            customer,
                            KeyDigest.ofHex(s.get(BundleProperties.DIGEST)),
                            s.get(BundleProperties.WITHDRAWN)));
        }
        return keys;
    }

    private Map<String, Model> models() {
        Map<String, Model> models = new LinkedHashMap<>();
        for (IniSection s : mReader.sections("model")) {
            models.put(
                    s.name(),
                    new Model(
                            s.name(),
                            s.get(BundleProperties.PROGRESS_TIMEOUT_MS),
                            s.get(BundleProperties.QUEUE_TIMEOUT_MS),
                            s.get(BundleProperties.REQUEST_TIMEOUT_MS)));
        }
        return models;
    }

    private Map<String, Target> targets(Map<String, Model> models) {
        Map<String, Target> targets = new LinkedHashMap<>();
        for (IniSection s : mReader.sections("target")) {
            String model = s.get(BundleProperties.MODEL);
            String service = s.get(BundleProperties.TARGET_SERVICE);
            if (model.isEmpty() == service.isEmpty()) {
                s.addProblem(BundleProperties.MODEL, model, "give either a model or a service");
            }
            if (!model.isEmpty() && !models.containsKey(model)) {
                s.addProblem(BundleProperties.MODEL, model, "no section [model " + model + "]");
            }
            String standard = model.isEmpty() ? SERVICE_PROTOCOL : MODEL_PROTOCOL;
            String protocol = s.get(BundleProperties.PROTOCOL);
            targets.put(
                    s.name(),
                    new Target(
                            s.name(),
                            model.isEmpty() ? service : model,
                            protocol.isEmpty() ? standard : protocol,
                            s.get(BundleProperties.ADDRESS),
                            s.get(BundleProperties.FAILURE_DOMAIN),
                            s.get(BundleProperties.SLOTS).intValue(),
                            s.get(BundleProperties.CREDENTIAL),
                            s.get(BundleProperties.LEAVING)));
        }
        return targets;
    }

    private List<Route> routes(List<String> services) {
        List<Route> routes = new ArrayList<>();
        for (IniSection s : mReader.sections("route")) {
            String service = s.get(BundleProperties.SERVICE);
            if (!service.isEmpty() && !services.contains(service)) {
                s.addProblem(BundleProperties.SERVICE, service, "no target serves it");
            }
            String path = s.get(BundleProperties.PATH);
            if (path.startsWith("/v1/")) {
                s.addProblem(BundleProperties.PATH, path, "paths under /v1/ are the model API's");
            }
            routes.add(
                    new Route(
                            s.name(),
                            path,
                            s.get(BundleProperties.METHODS),
                            service,
                            s.get(BundleProperties.OPEN),
                            s.get(BundleProperties.IDEMPOTENT),
                            s.get(BundleProperties.TIMEOUT_MS)));
        }
        return routes;
    }
}
