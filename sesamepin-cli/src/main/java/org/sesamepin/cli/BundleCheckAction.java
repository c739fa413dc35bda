package org.sesamepin.cli;

import io.vertx.core.Vertx;
import java.util.List;
import joptsimple.OptionSpec;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.check.BundleCheck;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.node.fleet.BundleHead;
import org.sesamepin.node.spi.PlatformStore;

/** {@code sesamepin bundle check}: reports faults of a bundle and what it would change. */
final class BundleCheckAction {
    private BundleCheckAction() {}

    static int run(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments("bundle check FILE [--against FILE | --store ADDRESS] [--json]");
        OptionSpec<String> against =
                arguments
                        .parser()
                        .accepts("against", "bundle in force, signed or not, to compare with")
                        .withRequiredArg();
        StoreOption store = new StoreOption(arguments);
        OptionSpec<Void> json = arguments.parser().accepts("json", "prints JSON");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        if (arguments.has(against) && store.isGiven(arguments)) {
            throw new UsageException("give either --against or --store");
        }
        String file = arguments.positionalArguments(1).get(0);
        String text = BundleDiffAction.readText(file);
        BundleCheck.InForce inForce = null;
        if (arguments.has(against)) {
            inForce = new BundleCheck.InForce(parse(arguments.get(against)));
        } else if (store.isGiven(arguments)) {
            inForce = new BundleCheck.InForce(readFromStore(store, arguments));
        }
        return CheckOutput.print(BundleCheck.check(file, text, inForce), arguments.has(json), out);
    }

    private static Bundle parse(String file) throws SesamepinException {
        return BundleParser.parse(file, BundleDiffAction.readText(file));
    }

    /** Returns the version in force, or null before the first roll. */
    private static @Nullable Bundle readFromStore(StoreOption store, Arguments arguments)
            throws Exception {
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            BundleRoll roll = new BundleRoll(client);
            BundleHead head = roll.readHead();
            if (head == null) {
                return null;
            }
            return BundleParser.parse("store", roll.readVersion(head.version()).text());
        } finally {
            vertx.close();
        }
    }
}
