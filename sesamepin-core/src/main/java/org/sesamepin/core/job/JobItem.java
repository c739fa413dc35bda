package org.sesamepin.core.job;

import java.util.Map;

/**
 * One request of a batch job.
 *
 * @param id id that is unique within the job
 * @param path path and query of the request
 * @param headers headers of the request
 * @param body body of the request
 * @param tokens tokens of the prompt plus the maximum number of generated tokens
 */
public record JobItem(
        String id, String path, Map<String, String> headers, byte[] body, long tokens) {}
