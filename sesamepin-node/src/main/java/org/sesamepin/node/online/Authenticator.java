package org.sesamepin.node.online;

import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.CallerKey;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.KeyFreshness;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/** Authenticates requests: maps the key that a request presents to its customer. */
public final class Authenticator {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final long RETRY_AFTER_MS = 1_000;

    private final BundleManager mBundles;
    private final KeyFreshness mKeyFreshness;

    /** Creates an authenticator that accepts the keys of the active bundle while they are fresh. */
    public Authenticator(BundleManager bundles, KeyFreshness keyFreshness) {
        mBundles = bundles;
        mKeyFreshness = keyFreshness;
    }

    /**
     * Returns the identity of the caller of {@code request}.
     *
     * @throws Problem with {@link ProblemType#KEY_REFUSED} when the request presents no valid key,
     *     and with {@link ProblemType#KEYS_NOT_FRESH} when this node might have missed the
     *     withdrawal of a key
     */
    public CallerIdentity authenticate(HttpServerRequest request) throws Problem {
        if (!mKeyFreshness.isFresh()) {
            throw new Problem(
                    ProblemType.KEYS_NOT_FRESH,
                    Step.AUTHENTICATE,
                    "node",
                    Execution.NOT_RUN,
                    "neither the store nor a majority of the peers confirms the configuration",
                    RETRY_AFTER_MS,
                    null);
        }
        Bundle bundle = mBundles.current();
        String secret = extractSecret(request);
        CallerKey key = secret.isEmpty() ? null : bundle.keys().find(secret);
        Customer customer = key == null ? null : bundle.customers().get(key.customer());
        if (key == null || customer == null) {
            throw new Problem(
                    ProblemType.KEY_REFUSED,
                    Step.AUTHENTICATE,
                    "send a valid key as 'Authorization: Bearer KEY'");
        }
        return new CallerIdentity(bundle, key, secret, customer);
    }

    /** Returns the identity of a request on an open route, which needs no key. */
    public CallerIdentity anonymous(HttpServerRequest request) {
        return new CallerIdentity(mBundles.current(), null, extractSecret(request), null);
    }

    private static String extractSecret(HttpServerRequest request) {
        @Nullable String authorization = request.getHeader("Authorization");
        if (authorization != null && authorization.regionMatches(true, 0, BEARER_PREFIX, 0, 7)) {
            return authorization.substring(BEARER_PREFIX.length()).trim();
        }
        @Nullable String apiKey = request.getHeader("X-Api-Key");
        return apiKey == null ? "" : apiKey.trim();
    }
}
