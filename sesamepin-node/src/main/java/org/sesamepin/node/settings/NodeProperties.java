package org.sesamepin.node.settings;

import java.net.InetSocketAddress;
import java.util.List;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.config.SectionSchema;

/**
 * Descriptors of all settings of a node; the reference page of the settings is generated from them.
 */
public final class NodeProperties {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
    private static final String NAME_DESCRIPTION = "a name of letters, digits, '.', '_' and '-'";
    private static final long GIBIBYTE = 1L << 30;

    static final PropertyDescriptor<String> HOST =
            PropertyDescriptor.text(
                            "host", NAME_DESCRIPTION, NAME_PATTERN, "", "Name of this host.")
                    .required();
    static final PropertyDescriptor<String> FAILURE_DOMAIN =
            PropertyDescriptor.text(
                            "failure_domain",
                            NAME_DESCRIPTION,
                            NAME_PATTERN,
                            "",
                            "Failure domain of this host.")
                    .required();
    static final PropertyDescriptor<InetSocketAddress> CALLER_ADDRESS =
            PropertyDescriptor.address("caller_address", "127.0.0.1:1", "Listener for callers.")
                    .required();
    static final PropertyDescriptor<InetSocketAddress> ADMIN_ADDRESS =
            PropertyDescriptor.address("admin_address", "127.0.0.1:1", "Listener for operators.")
                    .required();
    static final PropertyDescriptor<InetSocketAddress> PEER_ADDRESS =
            PropertyDescriptor.address("peer_address", "127.0.0.1:1", "Listener for other nodes.")
                    .required();
    static final PropertyDescriptor<Long> WEIGHT =
            PropertyDescriptor.integer(
                    "weight", "shares", 1, 1, 1_000, "Size of this host against the others.");
    static final PropertyDescriptor<Long> EVENT_LOOPS =
            PropertyDescriptor.integer(
                    "event_loops", "threads", 2, 1, 64, "Threads that serve requests.");
    static final PropertyDescriptor<String> DATA_FOLDER =
            PropertyDescriptor.text(
                    "data_folder",
                    "a path",
                    ".*",
                    "",
                    "Folder for the last bundle in force; empty for a host that keeps nothing.");
    static final PropertyDescriptor<Long> DRAIN_MS =
            PropertyDescriptor.integer(
                    "drain_ms",
                    "milliseconds",
                    2_000,
                    0,
                    600_000,
                    "How long a stopping node still accepts requests, for the balancer's lag.");
    static final PropertyDescriptor<Long> STOP_TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "stop_timeout_ms",
                    "milliseconds",
                    120_000,
                    0,
                    3_600_000,
                    "Longest wait of a stopping node for running requests.");

    static final PropertyDescriptor<String> STORE_KIND =
            PropertyDescriptor.text(
                    "kind", NAME_DESCRIPTION, NAME_PATTERN, "etcd", "Kind of store.");
    static final PropertyDescriptor<InetSocketAddress> STORE_ADDRESS =
            PropertyDescriptor.address("address", "127.0.0.1:1", "Where the store listens.")
                    .required();
    static final PropertyDescriptor<Long> STORE_TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "timeout_ms", "milliseconds", 1_000, 10, 60_000, "Longest wait for an answer.");
    static final PropertyDescriptor<String> HOST_LIST_KIND =
            PropertyDescriptor.text(
                    "kind", NAME_DESCRIPTION, NAME_PATTERN, "http", "Kind of host list.");
    static final PropertyDescriptor<InetSocketAddress> HOST_LIST_ADDRESS =
            PropertyDescriptor.address("address", "127.0.0.1:1", "Where the list is served.");
    static final PropertyDescriptor<List<String>> SEEDS =
            PropertyDescriptor.words(
                    "addresses",
                    "IP numbers with ports",
                    List.of(),
                    "Peer addresses that are known without the store.");
    static final PropertyDescriptor<LogFormat> LOG_FORMAT =
            PropertyDescriptor.choice(
                    "format", LogFormat.class, LogFormat.TEXT, "Form of the log lines.");
    static final PropertyDescriptor<String> LOG_LEVEL =
            PropertyDescriptor.text(
                    "level",
                    "one of error, warn, info, debug",
                    "error|warn|info|debug",
                    "info",
                    "Least level that is logged.");
    static final PropertyDescriptor<Long> MAX_BODY_BYTES =
            PropertyDescriptor.integer(
                    "max_body_bytes",
                    "bytes",
                    4 << 20,
                    1_024,
                    GIBIBYTE,
                    "Largest body of an online request.");
    static final PropertyDescriptor<Long> MAX_FILE_BYTES =
            PropertyDescriptor.integer(
                    "max_file_bytes",
                    "bytes",
                    256L << 20,
                    1_024,
                    GIBIBYTE,
                    "Largest input file of a batch job.");
    static final PropertyDescriptor<Long> MAX_HEADER_BYTES =
            PropertyDescriptor.integer(
                    "max_header_bytes", "bytes", 16_384, 1_024, 1 << 20, "Largest request head.");
    static final PropertyDescriptor<Long> MAX_ITEMS =
            PropertyDescriptor.integer(
                    "max_items", "items", 100_000, 1, 1_000_000, "Largest number of job items.");
    static final PropertyDescriptor<Long> READ_TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "read_timeout_ms",
                    "milliseconds",
                    30_000,
                    100,
                    3_600_000,
                    "Longest silence of a caller while it sends a request.");
    static final PropertyDescriptor<Long> ADMISSION_WAIT_MS =
            PropertyDescriptor.integer(
                    "admission_wait_ms",
                    "milliseconds",
                    3_000,
                    0,
                    60_000,
                    "Longest wait for a rate decision while its coordinator changes.");
    static final PropertyDescriptor<Long> REQUEST_MEMORY_BYTES =
            PropertyDescriptor.integer(
                    "request_memory_bytes",
                    "bytes",
                    0,
                    0,
                    1_024 * GIBIBYTE,
                    "Memory of the requests that are read or run; 0 for a quarter of the heap.");
    static final PropertyDescriptor<Long> MAX_CONNECTIONS =
            PropertyDescriptor.integer(
                    "max_connections",
                    "connections",
                    0,
                    0,
                    10_000_000,
                    "Callers' connections open at once; 0 for three quarters of the files that the"
                            + " process may open, and at most one per 64 KiB of heap. A sixteenth"
                            + " more may be open while they are accepted or closed.");

    static final SectionSchema NODE =
            SectionSchema.of(
                    "node",
                    false,
                    HOST,
                    FAILURE_DOMAIN,
                    CALLER_ADDRESS,
                    ADMIN_ADDRESS,
                    PEER_ADDRESS,
                    WEIGHT,
                    EVENT_LOOPS,
                    DATA_FOLDER,
                    DRAIN_MS,
                    STOP_TIMEOUT_MS);
    static final SectionSchema STORE =
            SectionSchema.of("store", false, STORE_KIND, STORE_ADDRESS, STORE_TIMEOUT_MS);
    static final SectionSchema HOST_LIST =
            SectionSchema.of("host_list", false, HOST_LIST_KIND, HOST_LIST_ADDRESS);
    static final SectionSchema PEERS = SectionSchema.of("peers", false, SEEDS);
    static final SectionSchema LOG = SectionSchema.of("log", false, LOG_FORMAT, LOG_LEVEL);
    static final SectionSchema LIMITS =
            SectionSchema.of(
                    "limits",
                    false,
                    MAX_BODY_BYTES,
                    MAX_FILE_BYTES,
                    MAX_HEADER_BYTES,
                    MAX_ITEMS,
                    READ_TIMEOUT_MS,
                    ADMISSION_WAIT_MS,
                    REQUEST_MEMORY_BYTES,
                    MAX_CONNECTIONS);

    /** Public keys of the operators; the section has no fixed keys, each key names an operator. */
    static final SectionSchema OPERATORS = SectionSchema.of("operators", false);

    /** Schemas of all sections of a settings file. */
    public static final List<SectionSchema> SCHEMAS =
            List.of(NODE, STORE, HOST_LIST, PEERS, LOG, LIMITS, OPERATORS);

    private NodeProperties() {}
}
