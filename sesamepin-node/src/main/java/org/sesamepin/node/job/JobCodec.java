package org.sesamepin.node.job;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.node.spi.StoreEntry;

/** Values of jobs in the store, as JSON. */
final class JobCodec {
    private static final int PART_CHARS = 700_000;

    private JobCodec() {}

    /**
     * Who owns a job.
     *
     * @param host name of the host
     * @param incarnation start of its process
     * @param revision revision of the store at which it became the owner
     */
    record Owner(String host, long incarnation, long revision) {}

    /**
     * Some results that were published together.
     *
     * @param writer incarnation of the process that wrote them
     * @param results the results in the order of their positions
     * @param failures answers of targets that an item failed, by item id
     */
    record Segment(long writer, List<JobResult> results, Map<String, Integer> failures) {}

    /** Decodes a value; a malformed one is an error of the step that reads the store. */
    private interface Decoder<T> {
        T decode(JsonObject json);
    }

    private static <T> T decode(StoreEntry entry, Decoder<T> decoder) throws SesamepinException {
        try {
            return decoder.decode(new JsonObject(entry.text()));
        } catch (DecodeException | ClassCastException | NullPointerException e) {
            throw new SesamepinException(
                    Step.STORE_READ, entry.key(), "not a value of this product: " + e);
        }
    }

    private static byte[] bytes(JsonObject json) {
        return json.encode().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] owner(String host, long incarnation) {
        return bytes(new JsonObject().put("host", host).put("incarnation", incarnation));
    }

    static Owner owner(StoreEntry entry) throws SesamepinException {
        return decode(
                entry,
                json ->
                        new Owner(
                                json.getString("host"),
                                json.getLong("incarnation"),
                                entry.modRevision()));
    }

    static byte[] summary(JobSummary job) {
        return bytes(
                new JsonObject()
                        .put("customer", job.customer())
                        .put("route", job.route())
                        .put("total", job.total())
                        .put("published", job.published())
                        .put("segments", job.segments())
                        .put("open_tokens", job.openTokens())
                        .put("accepted_at_ms", job.acceptedAtMs()));
    }

    static JobSummary summary(StoreEntry entry) throws SesamepinException {
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

    /** Encodes items in parts that each fit into one value of the store. */
    static List<byte[]> encodeItems(List<JobItem> items) {
        List<byte[]> parts = new ArrayList<>();
        JsonArray part = new JsonArray();
        int chars = 0;
        for (JobItem item : items) {
            JsonObject json =
                    new JsonObject()
                            .put("id", item.id())
                            .put("path", item.path())
                            .put("headers", new JsonObject(new HashMap<>(item.headers())))
                            .put("body", item.body())
                            .put("tokens", item.tokens());
            int size = item.body().length * 4 / 3 + item.path().length();
            if (chars + size > PART_CHARS && !part.isEmpty()) {
                parts.add(bytes(new JsonObject().put("items", part)));
                part = new JsonArray();
                chars = 0;
            }
            chars += size;
            part.add(json);
        }
        parts.add(bytes(new JsonObject().put("items", part)));
        return parts;
    }

    static List<JobItem> decodeItems(List<StoreEntry> parts) throws SesamepinException {
        List<JobItem> items = new ArrayList<>();
        for (StoreEntry part : parts) {
            items.addAll(decode(part, json -> itemsOf(json.getJsonArray("items"))));
        }
        return items;
    }

    private static List<JobItem> itemsOf(JsonArray array) {
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

    static byte[] segment(Segment segment) {
        JsonArray results = new JsonArray();
        for (JobResult result : segment.results()) {
            results.add(
                    new JsonObject()
                            .put("id", result.id())
                            .put("done", result.completed())
                            .put("output", result.output()));
        }
        return bytes(
                new JsonObject()
                        .put("writer", segment.writer())
                        .put("results", results)
                        .put("failures", new JsonObject(new HashMap<>(segment.failures()))));
    }

    static Segment segment(StoreEntry entry) throws SesamepinException {
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
                    JsonObject counts = json.getJsonObject("failures");
                    counts.fieldNames().forEach(id -> failures.put(id, counts.getInteger(id)));
                    return new Segment(json.getLong("writer"), results, failures);
                });
    }
}
