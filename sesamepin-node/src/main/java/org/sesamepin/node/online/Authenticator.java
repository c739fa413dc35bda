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

/** Finds the customer behind the key that a request presents. */
public final class Authenticator {
    private static final String BEARER = "Bearer ";
    private static final long RETRY_MS = 1_000;

    private final BundleManager mBundles;
    private final KeyFreshness mFreshness;

    /** Creates an authenticator. */
    public Authenticator(BundleManager bundles, KeyFreshness freshness) {
        mBundles = bundles;
        mFreshness = freshness;
    }

    /** Returns who sent the request; fails when it has no good key. */
    public CallerIdentity identify(HttpServerRequest request) throws Problem {
        if (!mFreshness.isFresh()) {
            throw new Problem(
                    ProblemType.KEYS_NOT_FRESH,
                    Step.AUTHENTICATE,
                    "node",
                    Execution.NOT_RUN,
                    "neither the store nor most peers confirm the configuration",
                    RETRY_MS,
                    null);
        }
        Bundle bundle = mBundles.current();
        String secret = secret(request);
        CallerKey key = secret.isEmpty() ? null : bundle.keys().find(secret);
        Customer customer = key == null ? null : bundle.customers().get(key.customer());
        if (key == null || customer == null) {
            throw new Problem(
                    ProblemType.KEY_REFUSED,
                    Step.AUTHENTICATE,
                    "present a key as 'Authorization: Bearer KEY'");
        }
        return new CallerIdentity(bundle, key, secret, customer);
    }

    /** Returns the identity of a request on a route open to all. */
    public CallerIdentity anonymous(HttpServerRequest request) {
        return new CallerIdentity(mBundles.current(), null, secret(request), null);
    }

    private static String secret(HttpServerRequest request) {
        @Nullable String authorization = request.getHeader("Authorization");
        if (authorization != null && authorization.regionMatches(true, 0, BEARER, 0, 7)) {
            return authorization.substring(BEARER.length()).trim();
        }
        @Nullable String apiKey = request.getHeader("X-Api-Key");
        return apiKey == null ? "" : apiKey.trim();
    }
}
