package org.sesamepin.node.spi;

/**
 * A raw HTTP call to the platform's store, made on behalf of another host.
 *
 * @param method HTTP method of the call
 * @param uri path and query of the call
 * @param body request body; empty for none
 * @param timeoutMs timeout of the call, milliseconds
 */
public record StoreRelayCall(String method, String uri, byte[] body, long timeoutMs) {
    /**
     * Raw response of the store.
     *
     * @param status HTTP status code
     * @param body response body
     */
    public record Reply(int status, byte[] body) {}
}
