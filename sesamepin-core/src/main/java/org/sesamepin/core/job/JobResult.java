package org.sesamepin.core.job;

import java.util.List;

/**
 * Final result of one item of a job.
 *
 * @param id id of the item
 * @param completed whether the item completed; otherwise it failed permanently
 * @param output data of all events, separated by line feeds; empty when the item failed
 */
public record JobResult(String id, boolean completed, String output) {
    /** Size of the names and punctuation of a result as a JSON object, an upper limit, bytes. */
    private static final int STRUCTURE_BYTES = 64;

    /** Returns an upper limit of the size of this result as a JSON object in UTF-8, bytes. */
    public int maxEncodedBytes() {
        return STRUCTURE_BYTES + JsonText.encodedBytes(id) + JsonText.encodedBytes(output);
    }

    /**
     * Returns how many of the {@code results} from {@code offset} on fit into {@code maxBytes} as
     * JSON; at least one if there is one, even if it exceeds the limit alone.
     */
    public static int countWithin(List<JobResult> results, int offset, int maxBytes) {
        long bytes = 0;
        int end = offset;
        while (end < results.size()) {
            bytes += results.get(end).maxEncodedBytes();
            if (end > offset && bytes > maxBytes) {
                break;
            }
            end++;
        }
        return Math.max(0, end - offset);
    }
}
