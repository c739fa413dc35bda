package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.Problem;

/**
 * The formats in which one kind of platform writes its configuration, targets and requests. Every
 * name of a header, field or store key of that platform is hidden behind this interface.
 */
public interface FleetProtocol {
    /** Returns the prefix of the store keys of the configuration. */
    String configPrefix();

    /** Returns whether {@code key} is the store key of the configuration. */
    boolean isConfig(String key);

    /**
     * Returns the failure domain whose evacuation the operator orders by writing {@code key}, which
     * has the prefix of the configuration; null when the key is no such order.
     */
    @Nullable String evacuatedDomain(String key);

    /** Returns the prefix of the store keys at which the targets register. */
    String targetPrefix();

    /**
     * Decodes a configuration.
     *
     * @throws SesamepinException when the configuration is invalid
     */
    ServingConfig decodeConfig(byte[] value) throws SesamepinException;

    /**
     * Decodes the store entry of a target.
     *
     * @throws SesamepinException when the entry does not describe a usable target
     */
    TargetInstance decodeTarget(String key, byte[] value) throws SesamepinException;

    /**
     * Returns the headers of a request to a target.
     *
     * @param customer name of the customer; null for an anonymous caller
     * @param budgetMs time that the target may use, milliseconds
     * @param resumeAfter id of the last event that was already received, or null
     */
    MultiMap requestHeaders(
            CallHead head,
            TargetInstance target,
            @Nullable String customer,
            long budgetMs,
            @Nullable String resumeAfter);

    /** Reads which shared parts the prompt of a request has, from the request's headers. */
    PromptParts promptParts(MultiMap headers);

    /** Reads which tokens a request declares, from the request's headers. */
    default RequestSize requestSize(MultiMap headers) {
        return RequestSize.NONE;
    }

    /** Sends an error of this host to a caller. */
    void sendProblem(HttpServerResponse response, Problem problem, String requestId);

    /** Reads the head of a target's response. */
    ResponseHead readResponseHead(HttpClientResponse response);
}
