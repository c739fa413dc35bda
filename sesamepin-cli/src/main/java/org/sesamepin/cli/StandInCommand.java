package org.sesamepin.cli;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionSpec;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.node.settings.LogFormat;
import org.sesamepin.standin.StandInServer;
import org.sesamepin.standin.engine.EngineSettings;
import org.sesamepin.standin.engine.EngineStandIn;
import org.sesamepin.standin.hostlist.HostListStandIn;
import org.sesamepin.standin.service.ServiceStandIn;
import org.sesamepin.standin.store.StoreStandIn;

/** {@code sesamepin stand-in}: runs a stand-in for a system that a fleet depends on, for trials. */
final class StandInCommand implements Command {
    private static final long START_TIMEOUT_MS = 10_000;

    @Override
    public String name() {
        return "stand-in";
    }

    @Override
    public String summary() {
        return "runs a stand-in for a store, engine, service or host-list, for trials";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments("stand-in store|engine|service|host-list --address IP:PORT ...");
        OptionSpec<String> address =
                arguments
                        .parser()
                        .accepts("address", "IP address and port to listen on")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> name =
                arguments
                        .parser()
                        .accepts("name", "model of an engine, or name of a service")
                        .withRequiredArg()
                        .defaultsTo("example");
        OptionSpec<Integer> slots = arguments.integerOption("slots", "slots of an engine", 8);
        OptionSpec<Integer> tokenMs =
                arguments.integerOption("token-ms", "milliseconds per token of an engine", 20);
        OptionSpec<Integer> kvTokens =
                arguments.integerOption("kv-tokens", "KV cache of an engine, tokens", 65_536);
        OptionSpec<Integer> lagMs =
                arguments.integerOption(
                        "lag-ms", "lag of load reports and host lists, milliseconds", 500);
        OptionSpec<Integer> delayMs =
                arguments.integerOption("delay-ms", "delay of a service, milliseconds", 5);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Logging.configure(LogFormat.TEXT, "info");
        InetSocketAddress endpoint = PropertyDescriptor.parseAddress(arguments.get(address));
        Vertx vertx = Vertx.vertx();
        String kind = arguments.positionalArguments(1).get(0);
        StandInServer server =
                switch (kind) {
                    case "store" -> new StoreStandIn(vertx, endpoint);
                    case "engine" ->
                            new EngineStandIn(
                                    vertx,
                                    endpoint,
                                    new EngineSettings(
                                            arguments.get(name),
                                            arguments.get(slots),
                                            arguments.get(tokenMs),
                                            arguments.get(kvTokens),
                                            arguments.get(lagMs)));
                    case "service" ->
                            new ServiceStandIn(
                                    vertx, endpoint, arguments.get(name), arguments.get(delayMs));
                    case "host-list" -> new HostListStandIn(vertx, endpoint, arguments.get(lagMs));
                    default -> throw new UsageException("unknown stand-in '" + kind + "'");
                };
        Futures.await(server.start(), START_TIMEOUT_MS);
        out.printLine(kind + " listening on " + server.address());
        new CountDownLatch(1).await();
        return Main.EXIT_OK;
    }
}
