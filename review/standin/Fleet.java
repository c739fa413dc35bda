import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts nodes of the project as processes, with the command of the deploy file. */
final class Fleet {
    /** Ports below those that the system gives to outgoing connections. */
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;

    static final String KEY = "key-of-tenant-1";
    static final String HOST = "desk.example";

    /** One node and its ports. */
    static final class Node {
        String name;
        int front;
        int ready;
        int control;
        int range;
        Path settings;
        Process process;
    }

    final List<Node> nodes = new ArrayList<>();
    private final Store mStore;
    private final Record mRecord;
    private final Path mFolder;
    private final List<String> mCommand;

    Fleet(Store store, Record record, int count) throws Exception {
        mStore = store;
        mRecord = record;
        mFolder = Files.createTempDirectory("sesamepin-review");
        mCommand = nodeCommand();
        for (int i = 1; i <= count; i++) {
            Node node = new Node();
            node.name = "front-z-a-" + i;
            node.front = freePort(1);
            node.ready = freePort(1);
            node.control = freePort(1);
            node.range = freePort(4);
            nodes.add(node);
        }
        for (Node node : nodes) {
            writeSettings(node);
            start(node);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    private static List<String> nodeCommand() throws IOException {
        String toml = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\.node\\]\\s+run = \"([^\"]*)\"").matcher(toml);
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no role node");
        }
        return List.of(matcher.group(1).split(" "));
    }

    private static int freePort(int count) throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                int first = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
                for (int i = 0; i < count; i++) {
                    sockets.add(new ServerSocket(first + i));
                }
                return first;
            } catch (IOException e) {
                // Some port of the range is taken.
            } finally {
                for (ServerSocket socket : sockets) {
                    socket.close();
                }
            }
        }
        throw new IOException("no free ports");
    }

    private void writeSettings(Node node) throws IOException {
        List<String> seeds = nodes.stream().limit(3).map(n -> Http.IP + ':' + n.control).toList();
        node.settings = mFolder.resolve(node.name + ".conf");
        Files.write(node.settings, List.of(
                "nodeName=" + node.name, "role=node", "machineClass=front", "serves=front,control",
                "ip=" + Http.IP, "zone=z-a", "region=z", "zones.z-a=z",
                "listen.front=" + Http.IP + ':' + node.front,
                "listen.ready=" + Http.IP + ':' + node.ready,
                "listen.control=" + Http.IP + ':' + node.control,
                "portRange=" + node.range + ',' + (node.range + 3),
                "seedNodes=" + String.join(",", seeds), "bootstrap=true", "tolerated=false",
                "limits.cpuShare=0.75", "limits.cpuCores=1", "limits.memoryMb=430",
                "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
                "discovery=platform", "entry=vip", "heartbeatMs=1200",
                "bounds.drainMs=2000", "bounds.graceS=8", "bounds.finishS=18", "bounds.statusS=120",
                "bounds.cancelMs=3000", "bounds.settleMs=1000", "bounds.configApplyMs=2000",
                "provider.address=" + Http.IP + ':' + mStore.port(), "provider.form=kv",
                "provider.writesPerS=400", "provider.readsPerS=2000", "provider.historyS=20",
                "provider.valueBytes=" + Store.MAX_VALUE_BYTES, "provider.ttlMinMs=1000"));
    }

    void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(mCommand);
        Map<String, String> env = builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("SESAMEPIN_BOOT", node.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(node.settings + ".log")));
        node.process = builder.start();
        mRecord.line(node.name, "started as process " + node.process.pid() + ", front port " + node.front);
    }

    /** Waits until all nodes answer their readiness check with 200. */
    void awaitReady() throws Exception {
        long endAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        for (Node node : nodes) {
            while (!isReady(node, 1_000)) {
                if (System.nanoTime() > endAt || !node.process.isAlive()) {
                    throw new IllegalStateException(node.name + " did not become ready, log " + node.settings + ".log");
                }
                Thread.sleep(100);
            }
        }
        Thread.sleep(2_500);
        mRecord.line("fleet", "is ready");
    }

    static boolean isReady(Node node, int timeoutMs) {
        try {
            return Http.call(node.ready, "GET", "/-/readiness", Map.of("Host", "x"), new byte[0], timeoutMs).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process of a node. */
    void kill(Node node) throws InterruptedException {
        mRecord.line(node.name, "is killed");
        node.process.destroyForcibly();
        node.process.waitFor();
    }

    /** Ends all processes; keeps their logs if the variable KEEP_LOGS names a folder. */
    void endAll() {
        String keep = System.getenv("KEEP_LOGS");
        for (Node node : nodes) {
            node.process.destroyForcibly();
        }
        try {
            for (Node node : nodes) {
                node.process.waitFor(5, TimeUnit.SECONDS);
                Path log = Path.of(node.settings + ".log");
                if (keep != null) {
                    Files.createDirectories(Path.of(keep));
                    Files.copy(log, Path.of(keep, log.getFileName().toString()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.deleteIfExists(log);
                Files.deleteIfExists(node.settings);
            }
            Files.deleteIfExists(mFolder);
        } catch (Exception e) {
            // The folder is temporary.
        }
    }

    /** Writes the configuration: a batch route, two stream routes and a safe route, one tenant. */
    static void writeConfig(Store store) {
        JsonArray routes = new JsonArray()
                .add(route("chat", "/chat/", "streaming", "model").put("maxAttempts", 1).put("gapAimMs", 250))
                .add(route("resumable", "/resumable/", "streaming", "model").put("maxAttempts", 3)
                        .put("resumable", true).put("gapAimMs", 250))
                .add(route("lots", "/lots/", "batch", "model").put("maxAttempts", 3).put("timeoutMs", 15_000)
                        .put("targetLatencyMs", 500).put("completionTargetMs", 18_000)
                        .put("retentionS", 120).put("cap", Integer.getInteger("cap", 1_000_000)).put("priority", 2))
                .add(route("plain", "/plain/", "safe", "app").put("maxAttempts", 2).put("timeoutMs", 1_500)
                        .put("targetLatencyMs", 193));
        JsonArray services = new JsonArray()
                .add(new JsonObject().put("name", "model").put("healthPath", "/health").put("maxConnections", 180)
                        .put("protocol", "h1").put("tls", false)
                        .put("engine", new JsonObject().put("capacity", 8).put("kvCacheTokens", 101_495)))
                .add(new JsonObject().put("name", "app").put("healthPath", "/health").put("maxConnections", 110)
                        .put("protocol", "h1").put("tls", false));
        store.put("op/config", new JsonObject().put("version", 1).put("routes", routes).put("services", services)
                .put("limits", new JsonObject().put("maxHeaderBytes", 16_384).put("maxBodyBytes", 4_194_304)
                        .put("headerTimeoutMs", 3_000).put("idleTimeoutMs", 15_000))
                .put("tenants", new JsonArray().add(new JsonObject().put("name", "tenant-1")
                        .put("apiKeys", new JsonArray().add(KEY)).put("priority", 1)
                        .put("ratePerS", 0).put("burst", 0))).encode());
    }

    private static JsonObject route(String name, String prefix, String kind, String service) {
        return new JsonObject().put("name", name).put("host", HOST).put("prefix", prefix).put("kind", kind)
                .put("timeoutMs", 5_000).put("targetLatencyMs", 300).put("priority", 0).put("service", service)
                .put("public", false).put("sticky", service.equals("model"));
    }

    static Map<String, String> headers(String requestId, int deadlineMs) {
        Map<String, String> headers = new java.util.LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Api-Key", KEY);
        headers.put("Request-Id", requestId);
        if (deadlineMs > 0) {
            headers.put("Deadline-Ms", Integer.toString(deadlineMs));
        }
        return headers;
    }

    /** Returns a batch submission of {@code count} items. */
    static JsonObject lot(String id, int count) {
        JsonArray items = new JsonArray();
        for (int i = 0; i < count; i++) {
            String prefix = id + "-" + i;
            items.add(new JsonObject().put("id", id + "-item-" + i).put("path", "/lots/" + i)
                    .put("headers", new JsonObject().put("Model", "m").put("Token-Usage", "350,188")
                            .put("Prompt-Prefix", "9c2e41:100," + Integer.toHexString(prefix.hashCode()) + ":250"))
                    .put("body", "q83vEjRWeJA=").put("tokens", 538));
        }
        return new JsonObject().put("items", items);
    }
}
