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
 * Settings of one node, after all checks.
 *
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param callerAddress address at which the node listens for callers
 * @param adminAddress address at which the node listens for operators
 * @param peerAddress address at which the node listens for other nodes
 * @param weight size of the host relative to the others
 * @param eventLoops number of threads that serve requests
 * @param dataFolder folder in which the active bundle is saved; empty to save none
 * @param drainMs how long a stopping node still accepts requests, milliseconds
 * @param stopTimeoutMs longest wait of a stopping node for running requests, milliseconds
 * @param storeKind kind of store
 * @param storeAddress address of the store
 * @param storeTimeoutMs timeout of calls to the store and the host list, milliseconds
 * @param hostListKind kind of host list
 * @param hostListAddress address of the host list's server; empty for none
 * @param seeds peer addresses that are used without reading the store
 * @param logFormat format of the log lines
 * @param logLevel lowest level that is logged
 * @param limits limits on the requests of callers
 * @param operators public keys of the operators by name of the operator
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
    private static final int MAX_FILE_BYTES = 1 << 20;

    /**
     * Reads, parses and checks a settings file.
     *
     * @throws SesamepinException when the file cannot be read or has problems
     */
    public static NodeSettings load(Path file) throws SesamepinException {
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            return parse(file.toString(), text);
        } catch (IOException e) {
            throw new SesamepinException(
                    Step.START,
                    file.toString(),
                    "cannot read the settings file: " + e.getMessage());
        }
    }

    /**
     * Parses and checks the text of a settings file.
     *
     * @param file name of the file, for the messages
     * @throws ConfigException when the settings have problems; it lists all of them
     */
    public static NodeSettings parse(String file, String text) throws ConfigException {
        IniReader reader = new IniReader(file, NodeProperties.SCHEMAS).read(text, MAX_FILE_BYTES);
        IniSection node = reader.section("node");
        IniSection store = reader.section("store");
        IniSection hostList = reader.section("host_list");
        IniSection log = reader.section("log");
        boolean hasHostList = hostList.has(NodeProperties.HOST_LIST_ADDRESS);
        InetSocketAddress hostListAddress = hostList.get(NodeProperties.HOST_LIST_ADDRESS);
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
                        hostList.get(NodeProperties.HOST_LIST_KIND),
                        hasHostList ? formatAddress(hostListAddress) : "",
                        reader.section("peers").get(NodeProperties.SEEDS),
                        log.get(NodeProperties.LOG_FORMAT),
                        log.get(NodeProperties.LOG_LEVEL),
                        CallerLimits.fromSection(reader.section("limits")),
                        reader.section("operators").values());
        if (settings.operators().isEmpty()) {
            reader.addProblem("operators", "", "", "name at least one operator with a public key");
        }
        reader.throwIfProblems();
        return settings;
    }

    /** Returns an address in the form used in settings: host and port, separated by a colon. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
