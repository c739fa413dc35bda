package org.sesamepin.core.serving;

/**
 * A service as operators describe it.
 *
 * @param name name of the service
 * @param maxConnections connections that one of its targets accepts from all callers together
 * @param slots requests that one of its targets runs at once; 0 where only targets say so
 * @param memoryTokens tokens that fit into one target's memory; 0 for no limit
 */
public record ServiceSpec(String name, int maxConnections, int slots, long memoryTokens) {}
