package org.sesamepin.cli;

import java.util.List;
import joptsimple.OptionSpec;
import org.sesamepin.node.settings.LogFormat;

/** {@code sesamepin demo}: a whole small fleet in one process. */
final class DemoCommand implements Command {
    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "runs a small fleet with stand-ins in one process and shows it at work";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("demo [--keep] [--port N] [--verbose]");
        OptionSpec<Void> keep = arguments.parser().accepts("keep", "stays up for trials with curl");
        OptionSpec<Void> verbose = arguments.parser().accepts("verbose", "prints the nodes' logs");
        OptionSpec<Integer> port =
                arguments
                        .parser()
                        .accepts("port", "first of the ports used")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(18_000);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Logging.configure(LogFormat.TEXT, arguments.has(verbose) ? "info" : "error");
        try (DemoFleet fleet = new DemoFleet(arguments.get(port))) {
            fleet.start();
            boolean shown = new DemoScenario(fleet, out).run();
            if (shown && arguments.has(keep)) {
                fleet.printInstructions(out);
                Thread.currentThread().join();
            }
            return shown ? Main.EXIT_OK : Main.EXIT_FAILED;
        }
    }
}
