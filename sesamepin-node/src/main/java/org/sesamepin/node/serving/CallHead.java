package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * What a caller's request says of itself.
 *
 * @param id the caller's id for this attempt; passed on unchanged
 * @param method HTTP method
 * @param host host name that the caller addresses
 * @param path path without the query
 * @param uri path and query; passed on unchanged
 * @param key the customer's key; null when none was sent
 * @param budgetMs how long the caller waits, milliseconds; 0 when it did not say
 * @param resumeAfter id of the last event that the caller has; null when it starts from the first
 * @param forwardedHeaders headers that are passed on to a target
 */
public record CallHead(
        String id,
        HttpMethod method,
        String host,
        String path,
        String uri,
        @Nullable String key,
        long budgetMs,
        @Nullable String resumeAfter,
        MultiMap forwardedHeaders) {}
