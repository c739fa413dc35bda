package org.sesamepin.core.job;

/**
 * Final result of one item.
 *
 * @param id id of the item
 * @param completed whether the item was done; otherwise it was given up
 * @param output data of all events, separated by line feeds; empty when given up
 */
public record JobResult(String id, boolean completed, String output) {}
