package org.sesamepin.node.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.config.ConfigException;
import org.sesamepin.core.config.IniReader;
import org.sesamepin.core.config.IniSection;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * Settings of one node, checked.
 *
 * @param host name of the host
 * @param failureDomain its failure domain
 * @param callerAddress listener for callers
 * @param adminAddress listener for operators
 * @param peerAddress listener for other nodes
 * @param weight size against the other hosts
 * @param eventLoops threads that serve requests
 * @param dataFolder folder for the last bundle; empty for none
 * @param drainMs how long a stopping node still accepts requests, milliseconds
 * @param stopTimeoutMs longest wait of a stopping node, milliseconds
 * @param storeKind kind of store
 * @param storeAddress where the store listens
 * @param storeTimeoutMs longest wait for the store, milliseconds
 * @param hostListKind kind of host list
 * @param hostListAddress where the host list is served; empty for none
 * @param seeds peer addresses known without the store
 * @param logFormat form of the log lines
 * @param logLevel least level that is logged
 * @param limits limits on what callers may send
 * @param operators public keys of the operators by name
 */
public record NodeSettings(
        String host,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress peerAddress,
        int weight,
        int eventLoops,
        String dataFolder,
        long drainMs,
        long stopTimeoutMs,
        String storeKind,
        String storeAddress,
        long storeTimeoutMs,
        String hostListKind,
        String hostListAddress,
        List<String> seeds,
        LogFormat logFormat,
        String logLevel,
        CallerLimits limits,
        Map<String, String> operators) {
    private static final int MAX_BYTES = 1 << 20;

    /** Reads and checks a settings file. */
    public static NodeSettings load(Path file) throws SesamepinException {
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            return parse(file.toString(), text);
        } catch (IOException e) {
            throw new SesamepinException(
                    Step.START, file.toString(), "cannot read the settings: " + e.getMessage());
        }
    }

    /** Parses and checks settings; {@code file} is named in the faults. */
    public static NodeSettings parse(String file, String text) throws ConfigException {
        IniReader reader = new IniReader(file, NodeProperties.SCHEMAS).read(text, MAX_BYTES);
        IniSection node = reader.section("node");
        IniSection store = reader.section("store");
        IniSection hostList = reader.section("host_list");
        IniSection log = reader.section("log");
        boolean listed = hostList.has(NodeProperties.LIST_ADDRESS);
        InetSocketAddress list = hostList.get(NodeProperties.LIST_ADDRESS);
        NodeSettings settings =
                new NodeSettings(
                        node.get(NodeProperties.HOST),
                        node.get(NodeProperties.FAILURE_DOMAIN),
                        node.get(NodeProperties.CALLER_ADDRESS),
                        node.get(NodeProperties.ADMIN_ADDRESS),
                        node.get(NodeProperties.PEER_ADDRESS),
                        node.get(NodeProperties.WEIGHT).intValue(),
                        node.get(NodeProperties.EVENT_LOOPS).intValue(),
                        node.get(NodeProperties.DATA_FOLDER),
                        node.get(NodeProperties.DRAIN_MS),
                        node.get(NodeProperties.STOP_TIMEOUT_MS),
                        store.get(NodeProperties.STORE_KIND),
                        formatAddress(store.get(NodeProperties.STORE_ADDRESS)),
                        store.get(NodeProperties.STORE_TIMEOUT_MS),
                        hostList.get(NodeProperties.LIST_KIND),
                        listed ? formatAddress(list) : "",
                        reader.section("peers").get(NodeProperties.SEEDS),
                        log.get(NodeProperties.LOG_FORMAT),
                        log.get(NodeProperties.LOG_LEVEL),
                        CallerLimits.of(reader.section("limits")),
                        reader.section("operators").values());
        if (settings.operators().isEmpty()) {
            reader.addProblem("operators", "", "", "name at least one operator with a public key");
        }
        reader.throwIfProblems();
        return settings;
    }

    /** Returns an address as written in settings. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
