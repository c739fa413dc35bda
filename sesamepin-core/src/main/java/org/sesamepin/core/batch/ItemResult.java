package org.sesamepin.core.batch;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Final result of one item; one line of the output file or the error file.
 *
 * @param index position of the item in the input, from 0
 * @param customId id that the caller gave to the item
 * @param status HTTP status of the target's response; 0 when there was none
 * @param body body of the target's response; null when there was none
 * @param error reason why the item failed; null when it completed
 */
public record ItemResult(
        int index, String customId, int status, @Nullable JsonNode body, @Nullable String error) {
    public boolean failed() {
        return error != null;
    }
}
