package org.sesamepin.core.job;

import java.util.Map;

/**
 * One request of a job.
 *
 * @param id id that is unique within the job
 * @param path path and query of the request
 * @param headers headers of the request
 * @param body body of the request
 * @param tokens tokens of the prompt and the largest number of generated ones, together
 */
public record JobItem(
        String id, String path, Map<String, String> headers, byte[] body, long tokens) {}
