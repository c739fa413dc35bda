package org.sesamepin.core.bundle;

import java.net.InetSocketAddress;

/**
 * A back end to which requests are sent.
 *
 * @param name the target's name
 * @param serviceName name of the model or the plain service it serves
 * @param protocol name of the target protocol plug-in, for example {@code openai}
 * @param address IP number and port
 * @param failureDomain failure domain in which the target runs
 * @param slots requests that the target works on at once
 * @param credential bearer token of the target itself; empty when it wants none
 * @param leaving whether the target gets no new work
 */
public record Target(
        String name,
        String serviceName,
        String protocol,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        String credential,
        boolean leaving) {
    /** Returns the address as written in settings. */
    public String hostAndPort() {
        return address.getHostString() + ":" + address.getPort();
    }
}
