package org.sesamepin.core.serving;

/**
 * Limits of a caller's connection: sizes of requests and timeouts.
 *
 * @param maxHeaderBytes maximum size of the head of a request, bytes
 * @param maxBodyBytes maximum size of the body of a request, bytes
 * @param headerTimeoutMs maximum time for receiving the head of a request, milliseconds
 * @param idleTimeoutMs time after which an idle connection is closed, milliseconds
 */
public record ConnectionLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Limits that apply until a configuration is loaded. */
    public static final ConnectionLimits DEFAULT =
            new ConnectionLimits(16_384, 4 << 20, 3_000, 15_000);
}
