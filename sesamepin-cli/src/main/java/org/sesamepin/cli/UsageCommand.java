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

/** {@code sesamepin usage}: sums the hosts' counters by customer. */
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
        return "requests admitted, refused and completed, by customer";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("usage --store ADDRESS [--json]");
        StoreOption store = new StoreOption(arguments);
        OptionSpec<Void> json = arguments.parser().accepts("json", "prints JSON");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Map<String, Map<String, Double>> usage = new TreeMap<>();
        int silent = 0;
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            for (HostRecord host : new BundleRoll(client).readLiveHosts()) {
                silent += addCounters(host, usage) ? 0 : 1;
            }
        } finally {
            vertx.close();
        }
        if (arguments.has(json)) {
            JsonObject all = new JsonObject();
            usage.forEach(
                    (customer, counts) -> all.put(customer, new JsonObject(Map.copyOf(counts))));
            out.line(all.encode());
        } else {
            printUsage(usage, out);
        }
        if (silent > 0) {
            System.err.println("sesamepin usage: " + silent + " hosts did not answer");
        }
        return silent == 0 ? Main.EXIT_OK : Main.EXIT_FAILED;
    }

    private static boolean addCounters(HostRecord host, Map<String, Map<String, Double>> usage)
            throws InterruptedException {
        InetSocketAddress admin = PropertyDescriptor.parseAddress(host.adminAddress());
        URI uri =
                URI.create("http://" + admin.getHostString() + ":" + admin.getPort() + "/metrics");
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(METRICS_TIMEOUT).build();
        String text;
        try {
            HttpClient http = HttpClient.newBuilder().connectTimeout(METRICS_TIMEOUT).build();
            text = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (java.io.IOException e) {
            return false;
        }
        for (String line : text.split("\n", -1)) {
            Matcher counter = COUNTER_PATTERN.matcher(line);
            if (counter.matches()) {
                Matcher label = CUSTOMER_LABEL_PATTERN.matcher(counter.group(2));
                String customer = label.find() ? label.group(1) : "-";
                usage.computeIfAbsent(customer, c -> new TreeMap<>())
                        .merge(counter.group(1), Double.parseDouble(counter.group(3)), Double::sum);
            }
        }
        return true;
    }

    private static void printUsage(Map<String, Map<String, Double>> usage, Output out) {
        List<List<String>> rows = new ArrayList<>();
        usage.forEach(
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
