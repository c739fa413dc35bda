package org.sesamepin.node.job;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.job.JsonText;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoredJson;

/** Encodes and decodes the values of jobs in the store, which are JSON. */
final class JobCodec {
    /** Size of the names and punctuation of an item or a header as JSON, an upper limit, bytes. */
    private static final int STRUCTURE_BYTES = 96;

    private JobCodec() {}

    /**
     * The owner of a job.
     *
     * @param host name of the host
     * @param incarnation start time of its process
     * @param revision revision of the store at which the host became the owner
     */
    record Owner(String host, long incarnation, long revision) {}

    /**
     * Results that were published together.
     *
     * @param writer incarnation of the process that wrote them
     * @param results the results in the order of their positions
     * @param failures number of responses in which targets reported a failed item, by item id
     */
    record Segment(long writer, List<JobResult> results, Map<String, Integer> failures) {}

    private static <T> T decode(StoreEntry entry, StoredJson.Decoder<T> decoder)
            throws SesamepinException {
        return StoredJson.decode(entry.key(), entry.value(), decoder);
    }

    private static byte[] toBytes(JsonObject json) {
        return json.encode().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] encodeOwner(String host, long incarnation) {
        return toBytes(new JsonObject().put("host", host).put("incarnation", incarnation));
    }

    static Owner decodeOwner(StoreEntry entry) throws SesamepinException {
        return decode(
                entry,
                json ->
                        new Owner(
                                json.getString("host"),
                                json.getLong("incarnation"),
                                entry.modRevision()));
    }

    static byte[] encodeSummary(JobSummary job) {
        return toBytes(
                new JsonObject()
                        .put("customer", job.customer())
                        .put("route", job.route())
                        .put("total", job.total())
                        .put("published", job.published())
                        .put("segments", job.segments())
                        .put("open_tokens", job.openTokens())
                        .put("accepted_at_ms", job.acceptedAtMs()));
    }

    static JobSummary decodeSummary(StoreEntry entry) throws SesamepinException {
        return decode(
                entry,
                json ->
                        new JobSummary(
                                json.getString("customer"),
                                json.getString("route"),
                                json.getInteger("total"),
                                json.getInteger("published"),
                                json.getInteger("segments"),
                                json.getLong("open_tokens"),
                                json.getLong("accepted_at_ms")));
    }

    /**
     * Encodes items in groups of at most {@code maxBytes}. An item that exceeds the limit alone is
     * a group of its own.
     */
    static List<byte[]> encodeItems(List<JobItem> items, int maxBytes) {
        List<byte[]> parts = new ArrayList<>();
        JsonArray part = new JsonArray();
        long bytes = 0;
        for (JobItem item : items) {
            JsonObject json =
                    new JsonObject()
                            .put("id", item.id())
                            .put("path", item.path())
                            .put("headers", new JsonObject(new HashMap<>(item.headers())))
                            .put("body", item.body())
                            .put("tokens", item.tokens());
            long size = maxEncodedBytes(item);
            if (bytes + size > maxBytes && !part.isEmpty()) {
                parts.add(toBytes(new JsonObject().put("items", part)));
                part = new JsonArray();
                bytes = 0;
            }
            bytes += size;
            part.add(json);
        }
        parts.add(toBytes(new JsonObject().put("items", part)));
        return parts;
    }

    /** Returns an upper limit of the size of items as JSON, bytes. */
    static long maxEncodedBytes(List<JobItem> items) {
        return items.stream().mapToLong(JobCodec::maxEncodedBytes).sum();
    }

    /** Returns an upper limit of the size of an item as JSON, bytes. */
    private static long maxEncodedBytes(JobItem item) {
        long base64Bytes = (item.body().length + 2L) / 3 * 4;
        long bytes = STRUCTURE_BYTES + base64Bytes;
        bytes += JsonText.encodedBytes(item.id()) + JsonText.encodedBytes(item.path());
        for (Map.Entry<String, String> header : item.headers().entrySet()) {
            bytes += STRUCTURE_BYTES + JsonText.encodedBytes(header.getKey());
            bytes += JsonText.encodedBytes(header.getValue());
        }
        return bytes;
    }

    static List<JobItem> decodeItems(List<StoreEntry> parts) throws SesamepinException {
        List<JobItem> items = new ArrayList<>();
        for (StoreEntry part : parts) {
            items.addAll(decode(part, json -> decodeItemArray(json.getJsonArray("items"))));
        }
        return items;
    }

    private static List<JobItem> decodeItemArray(JsonArray array) {
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            JsonObject json = array.getJsonObject(i);
            Map<String, String> headers = new HashMap<>();
            json.getJsonObject("headers")
                    .forEach(header -> headers.put(header.getKey(), (String) header.getValue()));
            items.add(
                    new JobItem(
                            json.getString("id"),
                            json.getString("path"),
                            headers,
                            json.getBinary("body"),
                            json.getLong("tokens")));
        }
        return items;
    }

    static byte[] encodeSegment(Segment segment) {
        JsonArray results = new JsonArray();
        for (JobResult result : segment.results()) {
            results.add(
                    new JsonObject()
                            .put("id", result.id())
                            .put("done", result.completed())
                            .put("output", result.output()));
        }
        return toBytes(
                new JsonObject()
                        .put("writer", segment.writer())
                        .put("results", results)
                        .put("failures", new JsonObject(new HashMap<>(segment.failures()))));
    }

    static Segment decodeSegment(StoreEntry entry) throws SesamepinException {
        return decode(
                entry,
                json -> {
                    List<JobResult> results = new ArrayList<>();
                    JsonArray array = json.getJsonArray("results");
                    for (int i = 0; i < array.size(); i++) {
                        JsonObject result = array.getJsonObject(i);
                        results.add(
                                new JobResult(
                                        result.getString("id"),
                                        result.getBoolean("done"),
                                        result.getString("output")));
                    }
                    Map<String, Integer> failures = new HashMap<>();
                    JsonObject failureCounts = json.getJsonObject("failures");
                    failureCounts
                            .fieldNames()
                            .forEach(id -> failures.put(id, failureCounts.getInteger(id)));
                    return new Segment(json.getLong("writer"), results, failures);
                });
    }
}
