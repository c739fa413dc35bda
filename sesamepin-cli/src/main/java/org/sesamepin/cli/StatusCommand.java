package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionSpec;
import org.sesamepin.node.fleet.BundleHead;
import org.sesamepin.node.fleet.HostRecord;
import org.sesamepin.node.spi.PlatformStore;

/** {@code sesamepin status}: prints the bundle version that is active on each live host. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "prints the bundle version that is active on each live host";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("status --store ADDRESS [--watch] [--json]");
        StoreOption store = new StoreOption(arguments);
        OptionSpec<Void> json = arguments.parser().accepts("json", "prints JSON");
        OptionSpec<Void> watch =
                arguments.parser().accepts("watch", "prints the status every second");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        Vertx vertx = Vertx.vertx();
        try (PlatformStore client = store.open(vertx, arguments)) {
            BundleRoll roll = new BundleRoll(client);
            while (true) {
                int exitCode = printStatus(roll, arguments.has(json), out);
                if (!arguments.has(watch)) {
                    return exitCode;
                }
                TimeUnit.SECONDS.sleep(1);
            }
        } finally {
            vertx.close();
        }
    }

    /**
     * Prints the status; returns exit code 0 if the version is active on all live hosts, else 1.
     */
    private static int printStatus(BundleRoll roll, boolean json, Output out) throws Exception {
        BundleHead head = roll.readHead();
        long version = head == null ? 0 : head.version();
        List<HostRecord> hosts = roll.readLiveHosts();
        long activeHosts = hosts.stream().filter(h -> h.activeVersion() == version).count();
        if (json) {
            JsonArray hostsJson = new JsonArray();
            hosts.forEach(h -> hostsJson.add(new JsonObject(h.toJson())));
            out.printLine(
                    new JsonObject()
                            .put("version", version)
                            .put("in_force", activeHosts)
                            .put("hosts", hostsJson)
                            .encode());
        } else {
            out.printLine(
                    "version " + version + " active on " + activeHosts + " of " + hosts.size());
            List<List<String>> rows = new ArrayList<>();
            for (HostRecord host : hosts) {
                rows.add(
                        List.of(
                                host.host(),
                                host.failureDomain(),
                                Long.toString(host.activeVersion()),
                                host.leaving() ? "leaving" : "live",
                                host.adminAddress(),
                                host.rejectionReason()));
            }
            out.printTable(
                    List.of("HOST", "FAILURE DOMAIN", "VERSION", "STATE", "ADMIN", "REFUSED"),
                    rows);
        }
        return activeHosts == hosts.size() ? Main.EXIT_OK : Main.EXIT_FAILED;
    }
}
