package org.sesamepin.core.bundle;

import java.net.InetSocketAddress;
import java.util.List;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.config.SectionSchema;

/** Describes all properties of a bundle; the reference page is generated from this. */
public final class BundleProperties {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
    private static final String NAME_DESCRIPTION = "a name of letters, digits, '.', '_' and '-'";
    private static final long DAY_MS = 86_400_000;

    static final PropertyDescriptor<Long> VERSION =
            PropertyDescriptor.integer(
                            "version",
                            "versions",
                            1,
                            1,
                            Long.MAX_VALUE,
                            "Version of the bundle; the previous one plus 1.")
                    .required();
    static final PropertyDescriptor<Preference> PREFERENCE =
            PropertyDescriptor.choice(
                    "preference",
                    Preference.class,
                    Preference.THROUGHPUT,
                    "Whether batch throughput or online latency matters more.");
    static final PropertyDescriptor<Double> RATE =
            PropertyDescriptor.decimal(
                            "rate",
                            "requests per second",
                            1,
                            0.001,
                            1_000_000,
                            "Requests admitted per second by all hosts together.")
                    .required();
    static final PropertyDescriptor<Double> BURST =
            PropertyDescriptor.decimal(
                            "burst",
                            "requests",
                            1,
                            1,
                            1_000_000,
                            "Requests admitted at once by all hosts together.")
                    .required();
    static final PropertyDescriptor<Double> BATCH_ITEM_COST =
            PropertyDescriptor.decimal(
                    "batch_item_cost",
                    "requests",
                    0,
                    0,
                    1_000,
                    "What one item of an accepted job uses of the rate.");
    static final PropertyDescriptor<Long> WEIGHT =
            PropertyDescriptor.integer(
                    "weight",
                    "shares",
                    1,
                    1,
                    1_000,
                    "Weight of the customer when batch slots are shared.");
    static final PropertyDescriptor<String> CUSTOMER =
            PropertyDescriptor.text(
                            "customer",
                            NAME_DESCRIPTION,
                            NAME_PATTERN,
                            "",
                            "Customer that the key belongs to.")
                    .required();
    static final PropertyDescriptor<String> DIGEST =
            PropertyDescriptor.text(
                            "digest",
                            "a SHA-256 digest in 64 hexadecimal digits",
                            "[0-9a-f]{64}",
                            "0".repeat(64),
                            "Digest of the key's secret; `sesamepin key new` prints it.")
                    .required();
    static final PropertyDescriptor<Boolean> WITHDRAWN =
            PropertyDescriptor.flag("withdrawn", false, "Whether the key has been withdrawn.");
    static final PropertyDescriptor<Long> PROGRESS_TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "progress_timeout_ms",
                    "milliseconds",
                    5_000,
                    10,
                    600_000,
                    "Time without progress after which a stream counts as dead.");
    static final PropertyDescriptor<Long> QUEUE_TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "queue_timeout_ms",
                    "milliseconds",
                    2_000,
                    0,
                    600_000,
                    "Longest time an online request waits for a slot.");
    static final PropertyDescriptor<Long> REQUEST_TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "request_timeout_ms",
                    "milliseconds",
                    120_000,
                    100,
                    DAY_MS,
                    "Longest time until a response is complete.");
    static final PropertyDescriptor<String> MODEL =
            PropertyDescriptor.text(
                    "model", NAME_DESCRIPTION, NAME_PATTERN, "", "Model that the target serves.");
    static final PropertyDescriptor<String> TARGET_SERVICE =
            PropertyDescriptor.text(
                    "service",
                    NAME_DESCRIPTION,
                    NAME_PATTERN,
                    "",
                    "Plain service that the target serves.");
    static final PropertyDescriptor<String> PROTOCOL =
            PropertyDescriptor.text(
                    "protocol",
                    NAME_DESCRIPTION,
                    NAME_PATTERN,
                    "",
                    "Target protocol: openai or plain.");
    static final PropertyDescriptor<InetSocketAddress> ADDRESS =
            PropertyDescriptor.address("address", "127.0.0.1:1", "Address the target listens on.")
                    .required();
    static final PropertyDescriptor<String> FAILURE_DOMAIN =
            PropertyDescriptor.text(
                    "failure_domain",
                    NAME_DESCRIPTION,
                    NAME_PATTERN,
                    "",
                    "Failure domain of the target.");
    static final PropertyDescriptor<Long> SLOTS =
            PropertyDescriptor.integer(
                    "slots",
                    "requests",
                    8,
                    1,
                    4_096,
                    "Requests that the target processes at once.");
    static final PropertyDescriptor<String> CREDENTIAL =
            PropertyDescriptor.text(
                    "credential",
                    "printable characters without spaces",
                    "[!-~]*",
                    "",
                    "Bearer token that the target expects.");
    static final PropertyDescriptor<Boolean> LEAVING =
            PropertyDescriptor.flag("leaving", false, "Whether the target gets no new work.");
    static final PropertyDescriptor<String> PATH =
            PropertyDescriptor.text(
                            "path",
                            "a path that starts with '/'; a final /* makes it a prefix",
                            "/[!-~]*",
                            "/",
                            "Path of the requests.")
                    .required();
    static final PropertyDescriptor<List<String>> METHODS =
            PropertyDescriptor.words(
                    "methods",
                    "HTTP methods, such as GET, POST",
                    List.of("GET"),
                    "Allowed HTTP methods.");
    static final PropertyDescriptor<String> SERVICE =
            PropertyDescriptor.text(
                            "service",
                            NAME_DESCRIPTION,
                            NAME_PATTERN,
                            "",
                            "Service that handles the requests.")
                    .required();
    static final PropertyDescriptor<Boolean> OPEN =
            PropertyDescriptor.flag("open", false, "Whether callers need no key.");
    static final PropertyDescriptor<Boolean> IDEMPOTENT =
            PropertyDescriptor.flag("idempotent", false, "Whether a request may be sent again.");
    static final PropertyDescriptor<Long> TIMEOUT_MS =
            PropertyDescriptor.integer(
                    "timeout_ms",
                    "milliseconds",
                    10_000,
                    10,
                    DAY_MS,
                    "Longest time until a response is complete.");

    static final SectionSchema BUNDLE = SectionSchema.of("bundle", false, VERSION, PREFERENCE);
    static final SectionSchema CUSTOMERS =
            SectionSchema.of("customer", true, RATE, BURST, BATCH_ITEM_COST, WEIGHT);
    static final SectionSchema KEYS = SectionSchema.of("key", true, CUSTOMER, DIGEST, WITHDRAWN);
    static final SectionSchema MODELS =
            SectionSchema.of(
                    "model", true, PROGRESS_TIMEOUT_MS, QUEUE_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
    static final SectionSchema TARGETS =
            SectionSchema.of(
                    "target",
                    true,
                    MODEL,
                    TARGET_SERVICE,
                    PROTOCOL,
                    ADDRESS,
                    FAILURE_DOMAIN,
                    SLOTS,
                    CREDENTIAL,
                    LEAVING);
    static final SectionSchema ROUTES =
            SectionSchema.of("route", true, PATH, METHODS, SERVICE, OPEN, IDEMPOTENT, TIMEOUT_MS);

    /** The types of sections that a bundle may have. */
    public static final List<SectionSchema> SCHEMAS =
            List.of(BUNDLE, CUSTOMERS, KEYS, MODELS, TARGETS, ROUTES);

    private BundleProperties() {}
}
