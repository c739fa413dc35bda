package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import joptsimple.OptionSpec;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.node.fleet.HostRecord;
import org.sesamepin.node.spi.PlatformStore;

/** {@code sesamepin usage}: sums the request counters of all live hosts by customer. */
final class UsageCommand implements Command {
    private static final Pattern COUNTER_PATTERN =
            Pattern.compile(
                    "sesamepin_requests_(admitted|refused|completed)_total\\{(.*)\\} ([0-9.eE+]+)");
    private static final Pattern CUSTOMER_LABEL_PATTERN = Pattern.compile("customer=\"([^\"]*)\"");
    private static final Duration METRICS_TIMEOUT = Duration.ofSeconds(3);

    @Override
    public String name() {
        return "usage";
    }

    @Override
    public String summary() {
        return "prints the requests admitted, refused and completed by customer";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("usage --store ADDRESS [--json]");
        StoreOption store = new StoreOption(arguments);
        OptionSpec<Void> json = arguments.parser().accepts("json", "prints JSON");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Map<String, Map<String, Double>> usageByCustomer = new TreeMap<>();
        int unresponsiveHosts = 0;
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            for (HostRecord host : new BundleRoll(client).readLiveHosts()) {
                unresponsiveHosts += addCounters(host, usageByCustomer) ? 0 : 1;
            }
        } finally {
            vertx.close();
        }
        if (arguments.has(json)) {
            JsonObject usageJson = new JsonObject();
            usageByCustomer.forEach(
                    (customer, counts) ->
                            usageJson.put(customer, new JsonObject(Map.copyOf(counts))));
            out.printLine(usageJson.encode());
        } else {
            printUsage(usageByCustomer, out);
        }
        if (unresponsiveHosts > 0) {
            System.err.println("sesamepin usage: " + unresponsiveHosts + " hosts did not respond");
        }
        return unresponsiveHosts == 0 ? Main.EXIT_OK : Main.EXIT_FAILED;
    }

    private static boolean addCounters(
            HostRecord host, Map<String, Map<String, Double>> usageByCustomer)
            throws InterruptedException {
        InetSocketAddress adminAddress = PropertyDescriptor.parseAddress(host.adminAddress());
        URI uri =
                URI.create(
                        "http://"
                                + adminAddress.getHostString()
                                + ":"
                                + adminAddress.getPort()
                                + "/metrics");
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(METRICS_TIMEOUT).build();
        String metrics;
        try {
            HttpClient httpClient = HttpClient.newBuilder().connectTimeout(METRICS_TIMEOUT).build();
            metrics = httpClient.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (java.io.IOException e) {
            return false;
        }
        for (String line : metrics.split("\n", -1)) {
            Matcher counterMatcher = COUNTER_PATTERN.matcher(line);
            if (counterMatcher.matches()) {
                Matcher labelMatcher = CUSTOMER_LABEL_PATTERN.matcher(counterMatcher.group(2));
                String customer = labelMatcher.find() ? labelMatcher.group(1) : "-";
                usageByCustomer
                        .computeIfAbsent(customer, c -> new TreeMap<>())
                        .merge(
                                counterMatcher.group(1),
                                Double.parseDouble(counterMatcher.group(3)),
                                Double::sum);
            }
        }
        return true;
    }

    private static void printUsage(Map<String, Map<String, Double>> usageByCustomer, Output out) {
        List<List<String>> rows = new ArrayList<>();
        usageByCustomer.forEach(
                (customer, counts) ->
                        rows.add(
                                List.of(
                                        customer,
                                        formatCount(counts, "admitted"),
                                        formatCount(counts, "refused"),
                                        formatCount(counts, "completed"))));
        out.printTable(List.of("CUSTOMER", "ADMITTED", "REFUSED", "COMPLETED"), rows);
    }

    private static String formatCount(Map<String, Double> counts, String name) {
        return Long.toString(Math.round(counts.getOrDefault(name, 0.0)));
    }
}
