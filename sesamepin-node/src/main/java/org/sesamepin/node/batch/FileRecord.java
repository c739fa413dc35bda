package org.sesamepin.node.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * Record of an input file, as stored in the platform's store.
 *
 * @param id id of the file
 * @param customer the customer that uploaded the file
 * @param bytes size of the file, bytes
 * @param items number of items in the file
 * @param chunkStarts index of the first item of each stored chunk
 * @param model the model that all items request
 * @param endpoint the path of the model API that all items call
 * @param digest SHA-256 of the content, hexadecimal
 * @param createdAtMs time at which the file was accepted, milliseconds since 1970
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

    /** Encodes the record as the JSON text that is stored. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Decodes stored JSON text; throws if it is not a valid record. */
    public static FileRecord fromJson(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, FileRecord.class);
        } catch (JsonProcessingException e) {
            throw new SesamepinException(Step.STORE_READ, "store", "damaged file record");
        }
    }
}
