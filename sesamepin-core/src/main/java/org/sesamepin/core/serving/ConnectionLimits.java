package org.sesamepin.core.serving;

/**
 * What a caller may send and how long it may stay idle.
 *
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMs longest time for sending a head, milliseconds
 * @param idleTimeoutMs time after which an unused connection is closed, milliseconds
 */
public record ConnectionLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Bounds that hold before any configuration is known. */
    public static final ConnectionLimits DEFAULT =
            new ConnectionLimits(16_384, 4 << 20, 3_000, 15_000);
}
