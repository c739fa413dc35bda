package org.sesamepin.core.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Encodes and decodes result segments: compressed JSON lines in the form that callers download. */
public final class ResultSegment {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ID_PREFIX = "item-";

    private ResultSegment() {}

    /** Returns the JSON line of one result, including the line feed. */
    public static String line(ItemResult result) {
        ObjectNode line = JSON.createObjectNode();
        line.put("id", ID_PREFIX + result.index());
        line.put("custom_id", result.customId());
        if (result.status() == 0) {
            line.putNull("response");
        } else {
            ObjectNode response = line.putObject("response");
            response.put("status_code", result.status());
            response.set("body", result.body());
        }
        if (result.error() == null) {
            line.putNull("error");
        } else {
            line.putObject("error").put("message", result.error());
        }
        return line + "\n";
    }

    /** Encodes results as a value for the store. */
    public static byte[] encode(List<ItemResult> results) {
        StringBuilder text = new StringBuilder();
        results.forEach(r -> text.append(line(r)));
        return Compression.compress(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Decodes a value from the store.
     *
     * @throws SesamepinException if the value is corrupt
     */
    public static List<ItemResult> decode(byte[] value) throws SesamepinException {
        String text = new String(Compression.decompress(value), StandardCharsets.UTF_8);
        List<ItemResult> results = new ArrayList<>();
        for (String line : text.split("\n", -1)) {
            if (!line.isEmpty()) {
                results.add(parse(line));
            }
        }
        return results;
    }

    private static ItemResult parse(String text) throws SesamepinException {
        try {
            JsonNode line = JSON.readTree(text);
            int index = Integer.parseInt(line.path("id").asText().substring(ID_PREFIX.length()));
            JsonNode response = line.path("response");
            JsonNode error = line.path("error").path("message");
            return new ItemResult(
                    index,
                    line.path("custom_id").asText(),
                    response.path("status_code").asInt(),
                    response.get("body"),
                    error.isMissingNode() ? null : error.asText());
        } catch (JsonProcessingException | RuntimeException e) {
            throw new SesamepinException(
                    Step.STORE_READ, "store", "stored result segment is corrupt");
        }
    }
}
