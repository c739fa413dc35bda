package org.sesamepin.node.settings;

import org.sesamepin.core.config.IniSection;

/**
 * Limits on what callers may send.
 *
 * @param maxBodyBytes largest body of an online request, bytes
 * @param maxFileBytes largest input file, bytes
 * @param maxHeaderBytes largest request head, bytes
 * @param maxItems largest number of items in a job
 * @param readTimeoutMs longest silence of a caller that sends a request, milliseconds
 * @param admissionWaitMs longest wait for a rate decision, milliseconds
 */
public record CallerLimits(
        int maxBodyBytes,
        long maxFileBytes,
        int maxHeaderBytes,
        int maxItems,
        long readTimeoutMs,
        long admissionWaitMs) {
    static CallerLimits of(IniSection section) {
        return new CallerLimits(
                section.get(NodeProperties.MAX_BODY_BYTES).intValue(),
                section.get(NodeProperties.MAX_FILE_BYTES),
                section.get(NodeProperties.MAX_HEADER_BYTES).intValue(),
                section.get(NodeProperties.MAX_ITEMS).intValue(),
                section.get(NodeProperties.READ_TIMEOUT_MS),
                section.get(NodeProperties.ADMISSION_WAIT_MS));
    }
}
