package org.sesamepin.node.limit;

/**
 * Decision about one request against its customer's rate.
 *
 * @param admitted whether it may run
 * @param retryAfterMs when a refused one may be tried again, milliseconds
 * @param reason how the decision came about, for the log
 */
public record Admission(boolean admitted, long retryAfterMs, String reason) {}
