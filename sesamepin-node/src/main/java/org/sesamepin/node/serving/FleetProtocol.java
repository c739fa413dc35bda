package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.Problem;

/**
 * How one kind of platform writes its configuration, its targets and its requests. Everything that
 * names a header, a field or a key of that platform is behind this interface.
 */
public interface FleetProtocol {
    /** Returns the prefix of the store's keys below which the configuration lies. */
    String configPrefix();

    /** Tells whether {@code key} holds the configuration. */
    boolean isConfig(String key);

    /** Returns the prefix of the store's keys below which the targets register. */
    String targetPrefix();

    /** Decodes a configuration; fails when it cannot be used. */
    ServingConfig decodeConfig(byte[] value) throws SesamepinException;

    /** Decodes a target's entry; fails when it names no target that can be used. */
    TargetInstance decodeTarget(String key, byte[] value) throws SesamepinException;

    /**
     * Returns the headers of a request to a target.
     *
     * @param customer name of the customer; null for an anonymous caller
     * @param budgetMs how long the target may work, milliseconds
     * @param resumeAfter id of the last event that is there already, or null
     */
    MultiMap requestHeaders(
            CallHead head,
            TargetInstance target,
            @Nullable String customer,
            long budgetMs,
            @Nullable String resumeAfter);

    /** Answers a caller with an error of this host's own. */
    void sendProblem(HttpServerResponse response, Problem problem, String requestId);

    /** Reads the head of a target's answer. */
    ResponseHead readResponseHead(HttpClientResponse response);
}
