import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The configuration of the cases, and what their clients send. */
final class Setup {
    static final int TENANTS = 8;

    /** Tokens of a tenant that may wait on the batch route. */
    static final long CAP = 1_000_000;

    static final int MAX_BODY_BYTES = 4_194_304;

    private Setup() {}

    static String key(int tenant) {
        return "key-" + tenant;
    }

    /** Returns a configuration with a route for batch submissions and one for streams. */
    static String config(int version) {
        List<Object> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            tenants.add(
                    Platform.map(
                            "name", "tenant-" + i,
                            "apiKeys", List.of(key(i)),
                            "priority", 1,
                            "ratePerS", 100,
                            "burst", 100));
        }
        List<Object> routes =
                List.of(
                        Platform.map(
                                "name", "r-batch",
                                "host", Fleet.HOST,
                                "prefix", "/lot/",
                                "kind", "batch",
                                "timeoutMs", 15_000,
                                "targetLatencyMs", 500,
                                "completionTargetMs", 18_000,
                                "priority", 2,
                                "service", "llm",
                                "maxAttempts", 3,
                                "retentionS", 60,
                                "cap", CAP,
                                "public", false,
                                "sticky", true,
                                "resumable", true,
                                "gapAimMs", 250),
                        Platform.map(
                                "name", "r-chat",
                                "host", Fleet.HOST,
                                "prefix", "/chat/",
                                "kind", "streaming",
                                "timeoutMs", 5_000,
                                "targetLatencyMs", 300,
                                "priority", 0,
                                "service", "llm",
                                "maxAttempts", 1,
                                "public", false,
                                "sticky", true,
                                "resumable", false,
                                "gapAimMs", 250),
                        Platform.map(
                                "name", "r-resumable",
                                "host", Fleet.HOST,
                                "prefix", "/again/",
                                "kind", "streaming",
                                "timeoutMs", 5_000,
                                "targetLatencyMs", 300,
                                "priority", 0,
                                "service", "llm",
                                "maxAttempts", 2,
                                "public", false,
                                "sticky", true,
                                "resumable", true,
                                "gapAimMs", 250));
        Object engine =
                Platform.map(
                        "capacity", 8,
                        "kvCacheTokens", 101_495,
                        "kvTokenBytes", 18_432,
                        "linkMbps", 550_000.0,
                        "moves", true,
                        "backups", true,
                        "stride", 10,
                        "cap", 12,
                        "pinMs", 4_000.0,
                        "holdMs", 2_000.0,
                        "handle_s", 5.0,
                        "models", List.of(Platform.map("name", "m")));
        Object service =
                Platform.map(
                        "name", "llm",
                        "healthPath", "/health",
                        "maxConnections", 180,
                        "protocol", "h1",
                        "tls", false,
                        "engine", engine);
        Object limits =
                Platform.map(
                        "maxHeaderBytes", 16_384,
                        "maxBodyBytes", MAX_BODY_BYTES,
                        "headerTimeoutMs", 3_000,
                        "idleTimeoutMs", 15_000);
        return Json.write(
                Platform.map(
                        "version", version,
                        "routes", routes,
                        "services", List.of(service),
                        "limits", limits,
                        "tenants", tenants));
    }

    /**
     * Returns the body of a batch submission.
     *
     * @param bodyBytes size of the body of each item, bytes
     * @param in prompt tokens of each item
     * @param out most output tokens of each item
     */
    static byte[] submission(String id, int items, int bodyBytes, int in, int out) {
        byte[] content = new byte[bodyBytes];
        new Random(id.hashCode()).nextBytes(content);
        String body = java.util.Base64.getEncoder().encodeToString(content);
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            String own = Integer.toHexString((id + i).hashCode());
            list.add(
                    Platform.map(
                            "id", item(id, i),
                            "path", "/lot/3/91c4",
                            "headers",
                                    Platform.map(
                                            "Model", "m",
                                            "Token-Usage", in + "," + out,
                                            "Prompt-Prefix", "9c2e41:100," + own + ":" + (in - 100)),
                            "body", body,
                            "tokens", in + out));
        }
        return Json.write(Platform.map("items", list)).getBytes();
    }

    static String item(String submission, int index) {
        return submission + "-" + index;
    }

    static String submissionHead(String id, int tenant) {
        return "Host: "
                + Fleet.HOST
                + "\r\nApi-Key: "
                + key(tenant)
                + "\r\nRequest-Id: "
                + id
                + "\r\nContent-Type: application/json\r\n";
    }

    static String chatHead(String id, int tenant, int tokens) {
        String own = Integer.toHexString(id.hashCode());
        return "Host: "
                + Fleet.HOST
                + "\r\nApi-Key: "
                + key(tenant)
                + "\r\nRequest-Id: "
                + id
                + "\r\nModel: m\r\nToken-Usage: 450,"
                + tokens
                + "\r\nPrompt-Prefix: 5c1e07a2:200,"
                + own
                + ":250\r\nDeadline-Ms: 5000\r\n";
    }
}
