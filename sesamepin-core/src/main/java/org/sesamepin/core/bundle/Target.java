package org.sesamepin.core.bundle;

import java.net.InetSocketAddress;

/**
 * A back end that processes requests.
 *
 * @param name the target's name
 * @param serviceName name of the model or plain service that the target serves
 * @param protocol name of the target protocol plug-in, for example {@code openai}
 * @param address IP address and port
 * @param failureDomain failure domain in which the target runs
 * @param slots number of requests that the target processes at once
 * @param credential bearer token that the target expects; empty if it needs none
 * @param leaving whether the target no longer gets new work
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
    /** Returns the address in the form used in settings, {@code IP:PORT}. */
    public String hostAndPort() {
        return address.getHostString() + ":" + address.getPort();
    }
}
