package org.sesamepin.core.job;

/**
 * Final result of one item of a job.
 *
 * @param id id of the item
 * @param completed whether the item completed; otherwise it failed permanently
 * @param output data of all events, separated by line feeds; empty when the item failed
 */
public record JobResult(String id, boolean completed, String output) {}
