package org.sesamepin.core.bundle;

/**
 * A customer with its rate across the whole fleet.
 *
 * @param name the customer's name
 * @param rate admissions per second, all hosts together
 * @param burst admissions that may come at once, all hosts together
 * @param batchItemCost admissions charged for starting one batch item; 0 leaves items uncharged
 * @param weight share of batch slots against other customers
 */
public record Customer(String name, double rate, double burst, double batchItemCost, long weight) {}
