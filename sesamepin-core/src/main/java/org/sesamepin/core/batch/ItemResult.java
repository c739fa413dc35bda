package org.sesamepin.core.batch;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Final result of one item, one line of the output or the error file.
 *
 * @param index position of the item in the input, from 0
 * @param customId the caller's own id of the item
 * @param status HTTP status of the target's answer; 0 when there was none
 * @param body the target's answer, null when there was none
 * @param error why the item failed, null when it completed
 */
public record ItemResult(
        int index, String customId, int status, @Nullable JsonNode body, @Nullable String error) {
    public boolean failed() {
        return error != null;
    }
}
