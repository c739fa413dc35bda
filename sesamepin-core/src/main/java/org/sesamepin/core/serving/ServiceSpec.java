package org.sesamepin.core.serving;

/**
 * A service as operators describe it.
 *
 * @param name name of the service
 * @param slots requests that one of its targets runs at once; 0 where only targets say so
 */
public record ServiceSpec(String name, int slots) {}
