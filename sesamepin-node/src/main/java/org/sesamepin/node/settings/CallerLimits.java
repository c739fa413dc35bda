package org.sesamepin.node.settings;

import org.sesamepin.core.config.IniSection;

/**
 * Limits on the requests of callers.
 *
 * @param maxBodyBytes maximum size of the body of an online request, bytes
 * @param maxFileBytes maximum size of an input file, bytes
 * @param maxHeaderBytes maximum size of a request head, bytes
 * @param maxItems maximum number of items in a job
 * @param readTimeoutMs longest time without a received byte while a request is read, milliseconds
 * @param admissionWaitMs longest wait of a request for the decision of the rate limiter,
 *     milliseconds
 */
public record CallerLimits(
        int maxBodyBytes,
        long maxFileBytes,
        int maxHeaderBytes,
        int maxItems,
        long readTimeoutMs,
        long admissionWaitMs) {
    static CallerLimits fromSection(IniSection section) {
        return new CallerLimits(
                section.get(NodeProperties.MAX_BODY_BYTES).intValue(),
                section.get(NodeProperties.MAX_FILE_BYTES),
                section.get(NodeProperties.MAX_HEADER_BYTES).intValue(),
                section.get(NodeProperties.MAX_ITEMS).intValue(),
                section.get(NodeProperties.READ_TIMEOUT_MS),
                section.get(NodeProperties.ADMISSION_WAIT_MS));
    }
}
