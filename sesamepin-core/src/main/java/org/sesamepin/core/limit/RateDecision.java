package org.sesamepin.core.limit;

/**
 * Decision of one host on a request of a customer, from the shares that it holds.
 *
 * @param admitted whether a token was taken
 * @param nanosUntilToken time until a token is due, in nanoseconds; 0 if one was taken
 * @param recovering whether the host holds less than half of the rate, so that the request may be
 *     inside the rate although no token was left
 */
public record RateDecision(boolean admitted, long nanosUntilToken, boolean recovering) {}
