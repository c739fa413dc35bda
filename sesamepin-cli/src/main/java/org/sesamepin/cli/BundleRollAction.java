package org.sesamepin.cli;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.stream.Collectors;
import joptsimple.OptionSpec;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.node.fleet.BundleHead;
import org.sesamepin.node.fleet.HostRecord;
import org.sesamepin.node.spi.PlatformStore;

/** {@code sesamepin bundle roll}: makes a signed bundle the version in force. */
final class BundleRollAction {
    private static final long DEFAULT_ROLL_TIMEOUT_MS = 30_000;

    private BundleRollAction() {}

    static int run(List<String> args, Output out) throws Exception {
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
        SignedBundle signed =
                SignedBundle.fromJson(BundleCommand.read(arguments.positionalArguments(1).get(0)));
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
}
