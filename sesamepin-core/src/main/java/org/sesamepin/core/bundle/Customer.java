package org.sesamepin.core.bundle;

/**
 * A customer and its limits across the whole fleet.
 *
 * @param name the customer's name
 * @param rate requests admitted per second by all hosts together
 * @param burst requests admitted at once by all hosts together
 * @param batchItemCost requests charged to the rate for starting one batch item; 0 charges none
 * @param weight weight of this customer when batch slots are shared among customers
 */
public record Customer(String name, double rate, double burst, double batchItemCost, long weight) {}
