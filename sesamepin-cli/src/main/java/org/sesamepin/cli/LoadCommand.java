package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import joptsimple.OptionSpec;
import org.sesamepin.core.config.PropertyDescriptor;

/** {@code sesamepin load}: sends online requests at a given rate and prints latency percentiles. */
final class LoadCommand implements Command {
    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "sends online requests at a given rate and prints latency percentiles";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments("load --callers IP:PORT,... --key KEY --model NAME [OPTION ...]");
        OptionSpec<String> callers =
                textOption(arguments, "callers", "addresses of nodes for callers, used round-robin")
                        .required();
        OptionSpec<String> key = textOption(arguments, "key", "caller key").defaultsTo("none");
        OptionSpec<String> model = textOption(arguments, "model", "model to request").required();
        OptionSpec<Double> rate =
                arguments
                        .parser()
                        .accepts("rate", "mean rate of Poisson arrivals, requests per second")
                        .withRequiredArg()
                        .ofType(Double.class)
                        .defaultsTo(20.0);
        OptionSpec<Integer> seconds =
                arguments.integerOption("seconds", "duration of the measurement, seconds", 10);
        OptionSpec<Integer> warmup =
                arguments.integerOption("warmup", "seconds before the measurement starts", 3);
        OptionSpec<Integer> tokens =
                arguments.integerOption("tokens", "tokens generated per request", 8);
        OptionSpec<Integer> seed =
                arguments.integerOption("seed", "seed of the random arrival times", 1);
        OptionSpec<Void> json = arguments.parser().accepts("json", "prints JSON");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> addresses = List.of(arguments.get(callers).split(","));
        try {
            addresses.forEach(PropertyDescriptor::parseAddress);
        } catch (IllegalArgumentException e) {
            throw new UsageException("--callers: " + e.getMessage());
        }
        Vertx vertx = Vertx.vertx();
        try {
            LoadRun loadRun =
                    new LoadRun(
                            vertx,
                            addresses,
                            arguments.get(key),
                            arguments.get(model),
                            arguments.get(tokens),
                            arguments.get(seed));
            JsonObject report =
                    loadRun.run(arguments.get(rate), arguments.get(warmup), arguments.get(seconds));
            printReport(report, arguments.has(json), out);
            return report.getLong("failed") == 0 ? Main.EXIT_OK : Main.EXIT_FAILED;
        } finally {
            vertx.close();
        }
    }

    private static joptsimple.ArgumentAcceptingOptionSpec<String> textOption(
            Arguments arguments, String name, String description) {
        return arguments.parser().accepts(name, description).withRequiredArg();
    }

    private static void printReport(JsonObject report, boolean json, Output out) {
        if (json) {
            out.printLine(report.encode());
            return;
        }
        out.printLine(
                String.format(
                        "sent %d, whole %d, rate-refused %d, failed %d",
                        report.getLong("sent"),
                        report.getLong("whole"),
                        report.getLong("rate_refused"),
                        report.getLong("failed")));
        for (String metric : List.of("first_token_ms", "whole_ms", "between_tokens_ms")) {
            JsonObject percentiles = report.getJsonObject(metric);
            out.printLine(
                    String.format(
                            "%-18s p50 %8.2f  p95 %8.2f  p99 %8.2f  max %8.2f",
                            metric,
                            percentiles.getDouble("p50"),
                            percentiles.getDouble("p95"),
                            percentiles.getDouble("p99"),
                            percentiles.getDouble("max")));
        }
    }
}
