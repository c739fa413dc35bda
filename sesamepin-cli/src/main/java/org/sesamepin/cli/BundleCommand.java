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
import java.util.stream.Collectors;
import joptsimple.OptionSpec;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.fleet.BundleHead;
import org.sesamepin.node.fleet.HostRecord;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;

/** {@code sesamepin bundle}: creates, validates, signs, compares and rolls out bundles. */
final class BundleCommand implements Command {
    private static final long DEFAULT_ROLL_TIMEOUT_MS = 30_000;

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
            case "check" -> check(rest, out);
            case "sign" -> sign(rest, out);
            case "diff" -> diff(rest, out);
            case "roll" -> roll(rest, out);
            case "show" -> show(rest, out);
            case "history" -> history(rest, out);
            case "--help" -> {
                out.printLine("Usage: sesamepin bundle new FILE");
                out.printLine("       sesamepin bundle check FILE");
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

    private static int check(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle check FILE");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        String file = arguments.positionalArguments(1).get(0);
        Bundle bundle = BundleParser.parse(file, read(file));
        out.printLine(
                String.format(
                        "ok: version %d, %d customers, %d keys, %d models, %d targets, %d routes",
                        bundle.version(),
                        bundle.customers().size(),
                        bundle.keys().all().size(),
                        bundle.models().size(),
                        bundle.targets().size(),
                        bundle.routes().size()));
        return Main.EXIT_OK;
    }

    static String read(String file) throws SesamepinException {
        try {
            return Files.readString(Path.of(file), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SesamepinException(Step.LOAD_BUNDLE, file, "cannot read the file: " + e);
        }
    }

    private static int sign(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments(
                        "bundle sign FILE --operator NAME --key FILE --out FILE [--set-version N]");
        OptionSpec<String> operator =
                arguments
                        .parser()
                        .accepts("operator", "name of the operator who signs")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> key =
                arguments
                        .parser()
                        .accepts("key", "file with the private key")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> signedFile =
                arguments
                        .parser()
                        .accepts("out", "file for the signed bundle")
                        .withRequiredArg()
                        .required();
        OptionSpec<Long> version =
                arguments
                        .parser()
                        .accepts("set-version", "version to write into FILE before signing")
                        .withRequiredArg()
                        .ofType(Long.class);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        String file = arguments.positionalArguments(1).get(0);
        String text = read(file);
        if (arguments.has(version)) {
            text = BundleTextEditor.withVersion(text, arguments.get(version));
            Files.writeString(Path.of(file), text, StandardCharsets.UTF_8);
        }
        Bundle bundle = BundleParser.parse(file, text);
        SignedBundle signed =
                SignedBundle.sign(text, arguments.get(operator), read(arguments.get(key)));
        Files.writeString(
                Path.of(arguments.get(signedFile)), signed.toJson(), StandardCharsets.UTF_8);
        out.printLine("signed version " + bundle.version() + " into " + arguments.get(signedFile));
        return Main.EXIT_OK;
    }

    private static int diff(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle diff FILE FILE");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> files = arguments.positionalArguments(2);
        List<String> oldSettings = settingsLines(files.get(0));
        List<String> newSettings = settingsLines(files.get(1));
        oldSettings.stream()
                .filter(e -> !newSettings.contains(e))
                .forEach(e -> out.printLine("- " + e));
        newSettings.stream()
                .filter(e -> !oldSettings.contains(e))
                .forEach(e -> out.printLine("+ " + e));
        return Main.EXIT_OK;
    }

    /** Returns the settings of a bundle, signed or not, each prefixed with its section. */
    private static List<String> settingsLines(String file) throws SesamepinException {
        String text = read(file);
        String ini = text.startsWith("{") ? SignedBundle.fromJson(text).text() : text;
        BundleParser.parse(file, ini);
        List<String> settings = new ArrayList<>();
        String currentSection = "";
        for (String line : ini.split("\n", -1)) {
            String trimmed = line.trim();
            if (trimmed.startsWith("[")) {
                currentSection = trimmed;
                settings.add(currentSection);
            } else if (!trimmed.isEmpty() && !trimmed.startsWith("#") && !trimmed.startsWith(";")) {
                settings.add(currentSection + " " + trimmed.replaceAll("\\s*=\\s*", " = "));
            }
        }
        return settings;
    }

    private static int roll(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle roll SIGNED --store ADDRESS [--wait]");
        StoreOption store = new StoreOption(arguments);
        OptionSpec<Void> wait =
                arguments
                        .parser()
                        .accepts("wait", "waits until the version is active on all live hosts");
        OptionSpec<Long> timeout =
                arguments
                        .parser()
                        .accepts("timeout-ms", "timeout of --wait, milliseconds")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(DEFAULT_ROLL_TIMEOUT_MS);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        SignedBundle signed = SignedBundle.fromJson(read(arguments.positionalArguments(1).get(0)));
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            BundleRoll roll = new BundleRoll(client);
            BundleHead head = roll.roll(signed);
            out.printLine("version " + head.version() + " accepted");
            if (!arguments.has(wait)) {
                return Main.EXIT_OK;
            }
            List<HostRecord> laggingHosts =
                    roll.awaitActive(head.version(), arguments.get(timeout));
            if (laggingHosts.isEmpty()) {
                out.printLine("active on all live hosts");
                return Main.EXIT_OK;
            }
            out.printLine("not active on: " + describeLaggingHosts(laggingHosts));
            return Main.EXIT_FAILED;
        } finally {
            vertx.close();
        }
    }

    static String describeLaggingHosts(List<HostRecord> laggingHosts) {
        return laggingHosts.stream()
                .map(
                        host ->
                                host.host()
                                        + " (at "
                                        + host.activeVersion()
                                        + (host.rejectionReason().isEmpty()
                                                ? ""
                                                : ": " + host.rejectionReason())
                                        + ")")
                .collect(Collectors.joining(", "));
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
