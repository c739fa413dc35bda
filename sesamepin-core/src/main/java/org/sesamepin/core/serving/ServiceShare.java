package org.sesamepin.core.serving;

/**
 * Fraction of a route's traffic that goes to one service.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route
 */
public record ServiceShare(String service, int weight) {}
