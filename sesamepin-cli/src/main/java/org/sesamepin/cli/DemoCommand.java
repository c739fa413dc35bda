package org.sesamepin.cli;

import java.util.List;
import joptsimple.OptionSpec;
import org.sesamepin.node.settings.LogFormat;

/** {@code sesamepin demo}: runs a small fleet with stand-ins in one process. */
final class DemoCommand implements Command {
    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "runs a small fleet with stand-ins in one process and sends sample requests";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("demo [--keep] [--port N] [--verbose]");
        OptionSpec<Void> keep =
                arguments.parser().accepts("keep", "keeps the fleet running for trials with curl");
        OptionSpec<Void> verbose =
                arguments.parser().accepts("verbose", "prints the logs of the nodes");
        OptionSpec<Integer> port =
                arguments
                        .parser()
                        .accepts("port", "first port of the range that the fleet uses")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(18_000);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Logging.configure(LogFormat.TEXT, arguments.has(verbose) ? "info" : "error");
        try (DemoFleet fleet = new DemoFleet(arguments.get(port))) {
            fleet.start();
            boolean succeeded = new DemoScenario(fleet, out).run();
            if (succeeded && arguments.has(keep)) {
                fleet.printInstructions(out);
                Thread.currentThread().join();
            }
            return succeeded ? Main.EXIT_OK : Main.EXIT_FAILED;
        }
    }
}
