package org.sesamepin.core.serving;

/**
 * A service as the operators configure it.
 *
 * @param name name of the service
 * @param slots requests that one of its targets runs concurrently; 0 where each target reports its
 *     own
 */
public record ServiceSpec(String name, int slots) {}
