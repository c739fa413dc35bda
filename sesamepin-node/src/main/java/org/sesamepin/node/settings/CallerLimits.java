package org.sesamepin.node.settings;

import org.sesamepin.core.config.IniSection;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.http.CallerMemory;

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
 * @param requestMemoryBytes memory of the requests that are read or run, bytes; 0 to derive it from
 *     the heap
 * @param maxConnections number of connections open at once; 0 to derive it from the heap and the
 *     files that the process may open
 */
public record CallerLimits(
        int maxBodyBytes,
        long maxFileBytes,
        int maxHeaderBytes,
        int maxItems,
        long readTimeoutMs,
        long admissionWaitMs,
        long requestMemoryBytes,
        int maxConnections) {
    /** Returns the memory of requests, without connections, that these limits allow. */
    public CallerMemory newCallerMemory(Ticker ticker) {
        return new CallerMemory(ticker, requestMemoryBytes, maxConnections);
    }

    static CallerLimits fromSection(IniSection section) {
        return new CallerLimits(
                section.get(NodeProperties.MAX_BODY_BYTES).intValue(),
                section.get(NodeProperties.MAX_FILE_BYTES),
                section.get(NodeProperties.MAX_HEADER_BYTES).intValue(),
                section.get(NodeProperties.MAX_ITEMS).intValue(),
                section.get(NodeProperties.READ_TIMEOUT_MS),
                section.get(NodeProperties.ADMISSION_WAIT_MS),
                section.get(NodeProperties.REQUEST_MEMORY_BYTES),
                section.get(NodeProperties.MAX_CONNECTIONS).intValue());
    }
}
