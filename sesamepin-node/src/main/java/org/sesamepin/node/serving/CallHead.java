package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.prompt.PromptParts;

/**
 * The head of a caller's request.
 *
 * @param id the caller's id for this attempt; forwarded unchanged
 * @param method HTTP method
 * @param host host name to which the caller sent the request
 * @param path path without the query
 * @param uri path and query; forwarded unchanged
 * @param key the customer's key; null when none was sent
 * @param budgetMs how long the caller waits, milliseconds; 0 when the request does not state it
 * @param resumeAfter id of the last event that the caller has received; null for a stream from its
 *     start
 * @param resumes id of the caller's attempt that brought the first event of the stream that this
 *     request continues; null when it names none, or not exactly one
 * @param forwardedHeaders headers that are forwarded to a target
 * @param prompt shared parts of the request's prompt; once its body is known, also its content
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
        @Nullable String resumes,
        MultiMap forwardedHeaders,
        PromptParts prompt) {
    /** Returns this head with other parts of the prompt. */
    CallHead withPrompt(PromptParts parts) {
        return new CallHead(
                id,
                method,
                host,
                path,
                uri,
                key,
                budgetMs,
                resumeAfter,
                resumes,
                forwardedHeaders,
                parts);
    }
}
