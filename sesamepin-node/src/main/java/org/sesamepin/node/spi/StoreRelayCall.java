package org.sesamepin.node.spi;

/**
 * A call to the platform's store in its raw form, made on behalf of another host.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param body body; empty for none
 * @param timeoutMs time after which the call is given up, milliseconds
 */
public record StoreRelayCall(String method, String uri, byte[] body, long timeoutMs) {
    /**
     * Raw answer of the store.
     *
     * @param status HTTP status
     * @param body body
     */
    public record Reply(int status, byte[] body) {}
}
