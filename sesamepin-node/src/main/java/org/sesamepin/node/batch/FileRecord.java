package org.sesamepin.node.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * Record of an input file.
 *
 * @param id the file
 * @param customer the customer to whom it belongs
 * @param bytes its size, bytes
 * @param items number of items
 * @param chunkStarts index of the first item of each chunk
 * @param model the model that all items want
 * @param endpoint the path that all items call
 * @param digest SHA-256 of its content, hexadecimal
 * @param createdAtMs when it was accepted, milliseconds since 1970
 */
public record FileRecord(
        String id,
        String customer,
        long bytes,
        int items,
        List<Integer> chunkStarts,
        String model,
        String endpoint,
        String digest,
        long createdAtMs) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the value as kept in the store. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the value as kept in the store. */
    public static FileRecord fromJson(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, FileRecord.class);
        } catch (JsonProcessingException e) {
            throw new SesamepinException(Step.STORE_READ, "store", "damaged file record");
        }
    }
}
