package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetSocketAddress;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.key.KeyDigest;
import org.sesamepin.core.key.KeySecret;
import org.sesamepin.core.lifecycle.Closer;
import org.sesamepin.node.Node;
import org.sesamepin.node.settings.NodeSettings;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.standin.StandInServer;
import org.sesamepin.standin.engine.EngineSettings;
import org.sesamepin.standin.engine.EngineStandIn;
import org.sesamepin.standin.hostlist.HostListStandIn;
import org.sesamepin.standin.service.ServiceStandIn;
import org.sesamepin.standin.store.StoreStandIn;

/**
 * A small fleet in one process: stand-ins for the store and the host list of the platform, for
 * three engines of different speed and for a plain service, and three nodes with a signed bundle.
 * The scenario tests run on this fleet as well.
 */
public final class DemoFleet implements AutoCloseable {
    /** Number of nodes in the fleet. */
    public static final int NODE_COUNT = 3;

    private static final long START_TIMEOUT_MS = 30_000;
    private static final int ENGINE_COUNT = 3;
    private static final int EVENT_LOOPS_PER_NODE = 3;
    private static final int SLOTS_PER_ENGINE = 4;
    private static final int KV_CACHE_TOKENS = 65_536;
    private static final int REPORT_LAG_MS = 200;
    private static final String LOOPBACK_IP = "127.0.0.1";
    private static final String[] FAILURE_DOMAINS = {"cusco-a", "cusco-b", "cusco-c"};
    private static final String OPERATOR_NAME = "demo";

    private final int mFirstPort;
    private final Vertx mVertx = Vertx.vertx();
    private final Closer mCloser = new Closer();
    private final KeyPair mOperatorKey;
    private final Map<Integer, Vertx> mVertxByNode = new HashMap<>();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private final String mHighRateKey = KeySecret.generate("demo-key", new SecureRandom());
    private final String mLowRateKey = KeySecret.generate("other-key", new SecureRandom());
    private final StoreStandIn mStore;
    private final ServiceStandIn mService;
    private long mLastRolledVersion;

    /** Creates a fleet that uses the ports starting at {@code firstPort}. */
    public DemoFleet(int firstPort) throws Exception {
        mFirstPort = firstPort;
        mOperatorKey = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        mCloser.add(() -> Futures.await(mVertx.close(), START_TIMEOUT_MS));
        mStore = mCloser.add(new StoreStandIn(mVertx, loopbackAddress(storePort())));
        mService =
                mCloser.add(
                        new ServiceStandIn(
                                mVertx, loopbackAddress(mFirstPort + 2), "app-recuas", 5));
    }

    private int storePort() {
        return mFirstPort;
    }

    private static InetSocketAddress loopbackAddress(int port) {
        return new InetSocketAddress(LOOPBACK_IP, port);
    }

    /** Starts the stand-ins, rolls out a bundle, starts the nodes and waits until all are ready. */
    public void start() throws Exception {
        startStandIn(mStore);
        startStandIn(mService);
        startStandIn(mCloser.add(new HostListStandIn(mVertx, loopbackAddress(mFirstPort + 1), 0)));
        for (int i = 0; i < ENGINE_COUNT; i++) {
            EngineSettings settings =
                    new EngineSettings(
                            "modelo-carga",
                            SLOTS_PER_ENGINE,
                            5 + 5L * i,
                            KV_CACHE_TOKENS,
                            REPORT_LAG_MS);
            EngineStandIn engine =
                    mCloser.add(
                            new EngineStandIn(mVertx, loopbackAddress(enginePort(i)), settings));
            mEngines.add(engine);
            startStandIn(engine);
        }
        roll(nextBundleText(""));
        for (int i = 0; i < NODE_COUNT; i++) {
            startNode(i);
        }
        awaitReady();
    }

    /** Starts the node {@code index}, or starts it again after it was killed or stopped. */
    public void startNode(int index) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS_PER_NODE));
        mCloser.add(() -> Futures.await(vertx.close(), START_TIMEOUT_MS));
        Node node = new Node(vertx, nodeSettings(index));
        node.start();
        mVertxByNode.put(index, vertx);
        if (index < mNodes.size()) {
            mNodes.set(index, node);
        } else {
            mNodes.add(node);
        }
    }

    /** Closes a node's threads and connections without a shutdown, as when its host is lost. */
    public void killNode(int index) throws Exception {
        Vertx vertx = mVertxByNode.remove(index);
        if (vertx != null) {
            Futures.await(vertx.close(), START_TIMEOUT_MS);
        }
    }

    /** Stops a node with an orderly shutdown. */
    public void stopNode(int index) throws Exception {
        Futures.await(mNodes.get(index).stop(), START_TIMEOUT_MS);
        killNode(index);
    }

    /** Waits until every node is ready; fails after {@code START_TIMEOUT_MS}. */
    public void awaitReady() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!mNodes.stream().allMatch(Node::isReady)) {
            if (System.nanoTime() - deadline > 0) {
                throw new SesamepinException(
                        Step.START, "fleet", "not all nodes became ready in time");
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static void startStandIn(StandInServer server) throws Exception {
        Futures.await(server.start(), START_TIMEOUT_MS);
    }

    private int enginePort(int index) {
        return mFirstPort + 10 + index;
    }

    private NodeSettings nodeSettings(int index) throws SesamepinException {
        return NodeSettings.parse("demo", nodeSettingsText(index));
    }

    /**
     * Returns the settings file of the node {@code index}; indexes from {@link #NODE_COUNT} on are
     * for nodes that run as processes of their own.
     */
    public String nodeSettingsText(int index) {
        int port = mFirstPort + 100 + 10 * index;
        String publicKey =
                Base64.getEncoder().encodeToString(mOperatorKey.getPublic().getEncoded());
        return String.join(
                "\n",
                "[node]",
                "host = entry-" + index,
                "failure_domain = " + FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
                "caller_address = " + LOOPBACK_IP + ":" + port,
                "admin_address = " + LOOPBACK_IP + ":" + (port + 1),
                "peer_address = " + LOOPBACK_IP + ":" + (port + 2),
                "event_loops = 1",
                "drain_ms = 300",
                "[store]",
                "address = " + LOOPBACK_IP + ":" + storePort(),
                "[host_list]",
                "address = " + LOOPBACK_IP + ":" + (mFirstPort + 1),
                "[limits]",
                "max_body_bytes = 200000",
                "read_timeout_ms = 1000",
                "[operators]",
                OPERATOR_NAME + " = " + publicKey,
                "");
    }

    /** Returns the text of the bundle with the next version and {@code moreSections} appended. */
    public String nextBundleText(String moreSections) {
        StringBuilder text = new StringBuilder();
        text.append("[bundle]\nversion = ").append(mLastRolledVersion + 1).append('\n');
        text.append("preference = throughput\n");
        text.append("[customer outfitter]\nrate = 100\nburst = 100\n");
        text.append("[customer other]\nrate = 1\nburst = 4\n");
        text.append("[key demo-key]\ncustomer = outfitter\ndigest = ");
        text.append(KeyDigest.ofSecret(mHighRateKey).hex()).append('\n');
        text.append("[key other-key]\ncustomer = other\ndigest = ");
        text.append(KeyDigest.ofSecret(mLowRateKey).hex()).append('\n');
        text.append(
                "[model modelo-carga]\nprogress_timeout_ms = 1000\nrequest_timeout_ms = 10000\n");
        for (int i = 0; i < ENGINE_COUNT; i++) {
            text.append("[target carga-").append(i).append("]\nmodel = modelo-carga\n");
            text.append("address = ")
                    .append(LOOPBACK_IP)
                    .append(':')
                    .append(enginePort(i))
                    .append('\n');
            text.append("failure_domain = ").append(FAILURE_DOMAINS[i]).append('\n');
            text.append("slots = ").append(SLOTS_PER_ENGINE).append('\n');
        }
        text.append("[target recuas-0]\nservice = app-recuas\naddress = ");
        text.append(LOOPBACK_IP).append(':').append(mFirstPort + 2).append("\nslots = 64\n");
        text.append("[route bookings]\npath = /bookings\nmethods = POST\n");
        text.append("service = app-recuas\nidempotent = false\ntimeout_ms = 2000\n");
        text.append("[route catalogue]\npath = /catalogue/*\nmethods = GET\n");
        text.append("service = app-recuas\nopen = true\nidempotent = true\n");
        return text.append(moreSections).toString();
    }

    /** Signs the text of a bundle and rolls it out. */
    public void roll(String text) throws Exception {
        String privateKey =
                Base64.getEncoder().encodeToString(mOperatorKey.getPrivate().getEncoded());
        SignedBundle signed = SignedBundle.sign(text, OPERATOR_NAME, privateKey);
        String address = LOOPBACK_IP + ":" + storePort();
        PluginRegistry plugins = PluginRegistry.load();
        try (PlatformStore store =
                plugins.storeFactory("etcd")
                        .open(mVertx, address, StoreOption.REQUEST_TIMEOUT_MS)) {
            mLastRolledVersion = new BundleRoll(store).roll(signed).version();
        }
    }

    /** Returns the URL on which a node serves callers. */
    public String callerUrl(int node) {
        return "http://" + LOOPBACK_IP + ":" + (mFirstPort + 100 + 10 * node);
    }

    public Node node(int index) {
        return mNodes.get(index);
    }

    public StoreStandIn store() {
        return mStore;
    }

    /** Returns the URL of a stand-in engine. */
    public String engineUrl(int index) {
        return "http://" + mEngines.get(index).address();
    }

    /** Returns the URL of the stand-in service. */
    public String serviceUrl() {
        return "http://" + mService.address();
    }

    /** Returns the address of the stand-in store, as {@code IP:PORT}. */
    public String storeAddress() {
        return mStore.address();
    }

    /** Returns the URL of the stand-in host list. */
    public String hostListUrl() {
        return "http://" + LOOPBACK_IP + ":" + (mFirstPort + 1);
    }

    /** Returns the key of the customer with the high rate limit. */
    public String highRateKey() {
        return mHighRateKey;
    }

    /** Returns the key of the customer with the low rate limit. */
    public String lowRateKey() {
        return mLowRateKey;
    }

    /** Prints commands with which to send requests to the fleet manually. */
    void printInstructions(Output out) {
        out.printLine("");
        out.printLine("The fleet keeps running. Try:");
        out.printLine("  KEY=" + mHighRateKey);
        out.printLine(
                "  curl -N "
                        + callerUrl(0)
                        + "/v1/completions -H \"Authorization: Bearer $KEY\" -d"
                        + " '{\"model\":\"modelo-carga\",\"prompt\":\"hola\",\"stream\":true}'");
        out.printLine(
                "  curl "
                        + callerUrl(1)
                        + "/bookings -H \"Authorization: Bearer $KEY\" -H 'Idempotency-Key: b1' -d"
                        + " '{\"mules\":3}'");
        out.printLine("  curl " + callerUrl(2) + "/catalogue/mules");
        out.printLine("  sesamepin status --store " + storeAddress());
        out.printLine("Stop it with Ctrl-C.");
    }

    @Override
    public void close() throws Exception {
        mCloser.close();
    }
}
