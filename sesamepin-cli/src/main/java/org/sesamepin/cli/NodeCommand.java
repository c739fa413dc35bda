package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionSpec;
import org.sesamepin.node.FatalErrors;
import org.sesamepin.node.Node;
import org.sesamepin.node.settings.NodeSettings;

/** {@code sesamepin node}: runs the daemon of one entry host. */
final class NodeCommand implements Command {
    private static final int EXTRA_EVENT_LOOPS = 2;
    private static final long STOP_MARGIN_MS = 10_000;

    @Override
    public String name() {
        return "node";
    }

    @Override
    public String summary() {
        return "runs the daemon of one entry host";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("node --config FILE [--check]");
        OptionSpec<String> config =
                arguments
                        .parser()
                        .accepts("config", "INI file with the settings of this node")
                        .withRequiredArg()
                        .required();
        OptionSpec<Void> check =
                arguments.parser().accepts("check", "validates the settings and exits");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        NodeSettings settings = NodeSettings.load(Path.of(arguments.get(config)));
        if (arguments.has(check)) {
            out.printLine("ok");
            return Main.EXIT_OK;
        }
        Logging.configure(settings.logFormat(), settings.logLevel());
        runUntilStopped(settings);
        return Main.EXIT_OK;
    }

    private static void runUntilStopped(NodeSettings settings) throws Exception {
        int eventLoops = settings.eventLoops() + EXTRA_EVENT_LOOPS;
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(eventLoops));
        FatalErrors.install(vertx);
        Node node = new Node(vertx, settings);
        CountDownLatch stopped = new CountDownLatch(1);
        Thread shutdownHook = new Thread(() -> stop(vertx, node, settings, stopped), "stop");
        try {
            node.start();
        } catch (Exception e) {
            vertx.close();
            throw e;
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        stopped.await();
    }

    private static void stop(
            Vertx vertx, Node node, NodeSettings settings, CountDownLatch stopped) {
        try {
            long timeoutMs = settings.drainMs() + settings.stopTimeoutMs() + STOP_MARGIN_MS;
            Futures.await(node.stop(), timeoutMs);
            node.close();
            vertx.close().toCompletionStage().toCompletableFuture().get(2, TimeUnit.SECONDS);
        } catch (Exception e) {
            System.err.println("sesamepin node: " + e);
        } finally {
            stopped.countDown();
        }
    }
}
