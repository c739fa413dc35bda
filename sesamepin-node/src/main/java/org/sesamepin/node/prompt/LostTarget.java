package org.sesamepin.node.prompt;

import java.net.InetSocketAddress;

/**
 * A target that closed a connection on which it ran a request.
 *
 * @param service service of the target
 * @param id its incarnation, or its name where targets have none
 * @param address where it accepts connections
 */
public record LostTarget(String service, String id, InetSocketAddress address) {}
