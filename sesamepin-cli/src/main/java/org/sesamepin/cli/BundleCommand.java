package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionSpec;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;

/** {@code sesamepin bundle}: creates, validates, signs, compares and rolls out bundles. */
final class BundleCommand implements Command {
    private static final String TEMPLATE =
            """
            # A bundle: customers, keys, rates, routes, models and targets of one version.
            [bundle]
            version = 1
            preference = throughput

            [customer example]
            rate = 10
            burst = 20

            [model example-model]
            progress_timeout_ms = 5000

            [target example-1]
            model = example-model
            address = 127.0.0.1:9001
            slots = 8
            """;

    @Override
    public String name() {
        return "bundle";
    }

    @Override
    public String summary() {
        return "manages bundles: new, check, sign, diff, roll, show, history";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        String action = args.isEmpty() ? "--help" : args.get(0);
        List<String> rest = args.isEmpty() ? args : args.subList(1, args.size());
        return switch (action) {
            case "new" -> create(rest, out);
            case "check" -> BundleCheckAction.run(rest, out);
            case "sign" -> BundleSignAction.run(rest, out);
            case "diff" -> BundleDiffAction.run(rest, out);
            case "roll" -> BundleRollAction.run(rest, out);
            case "show" -> show(rest, out);
            case "history" -> history(rest, out);
            case "--help" -> {
                out.printLine("Usage: sesamepin bundle new FILE");
                out.printLine(
                        "       sesamepin bundle check FILE [--against FILE | --store ADDRESS]"
                                + " [--json]");
                out.printLine(
                        "       sesamepin bundle sign FILE --operator NAME --key FILE --out FILE"
                                + " [--set-version N]");
                out.printLine("       sesamepin bundle diff FILE FILE");
                out.printLine("       sesamepin bundle roll SIGNED --store ADDRESS [--wait]");
                out.printLine("       sesamepin bundle show VERSION --store ADDRESS");
                out.printLine("       sesamepin bundle history --store ADDRESS [--json]");
                yield Main.EXIT_OK;
            }
            default -> throw new UsageException("unknown action '" + action + "'");
        };
    }

    private static int create(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle new FILE");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Path file = Path.of(arguments.positionalArguments(1).get(0));
        Files.writeString(file, TEMPLATE, StandardOpenOption.CREATE_NEW);
        out.printLine("wrote " + file);
        return Main.EXIT_OK;
    }

    static String read(String file) throws SesamepinException {
        try {
            return Files.readString(Path.of(file), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SesamepinException(Step.LOAD_BUNDLE, file, "cannot read the file: " + e);
        }
    }

    private static int show(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle show VERSION --store ADDRESS");
        StoreOption store = new StoreOption(arguments);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        String versionText = arguments.positionalArguments(1).get(0);
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            SignedBundle signed = new BundleRoll(client).readVersion(Long.parseLong(versionText));
            out.printLine("# signed by " + signed.operator());
            out.printLine(signed.text());
            return Main.EXIT_OK;
        } catch (NumberFormatException e) {
            throw new UsageException("'" + versionText + "' is not a version number");
        } finally {
            vertx.close();
        }
    }

    private static int history(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle history --store ADDRESS [--json]");
        StoreOption store = new StoreOption(arguments);
        OptionSpec<Void> json = arguments.parser().accepts("json", "prints JSON");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            StoreResult result =
                    Futures.await(
                            client.read(
                                    List.of(StoreRead.ofPrefix(StoreKeys.bundleVersionsPrefix()))),
                            StoreOption.REQUEST_TIMEOUT_MS);
            JsonArray versions = new JsonArray();
            List<List<String>> rows = new ArrayList<>();
            for (var entry : result.entries()) {
                SignedBundle signed = SignedBundle.fromJson(entry.text());
                long version = BundleParser.parse("bundle", signed.text()).version();
                rows.add(List.of(Long.toString(version), signed.operator()));
                versions.add(
                        new JsonObject()
                                .put("version", version)
                                .put("operator", signed.operator()));
            }
            if (arguments.has(json)) {
                out.printLine(versions.encode());
            } else {
                out.printTable(List.of("VERSION", "OPERATOR"), rows);
            }
            return Main.EXIT_OK;
        } finally {
            vertx.close();
        }
    }
}
