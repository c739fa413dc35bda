package org.sesamepin.node.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;

/** Keeps callers' keys away from targets, in whatever form they came. */
final class KeyFilter {
    /** Headers that concern one connection, or carry credentials, and are not passed on. */
    private static final Set<String> HELD_BACK =
            Set.of(
                    "authorization",
                    "x-api-key",
                    "api-key",
                    "proxy-authorization",
                    "proxy-connection",
                    "cookie",
                    "connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "host",
                    "content-length",
                    "x-request-id",
                    "last-event-id");

    private KeyFilter() {}

    /** Fails when the key stands in the path, the query or the body. */
    static void check(CallerIdentity caller, HttpServerRequest request, Buffer body)
            throws Problem {
        String secret = caller.secret();
        if (secret.isEmpty()) {
            return;
        }
        boolean inUri = request.uri().contains(secret) || decoded(request.uri()).contains(secret);
        boolean inBody = body.toString(StandardCharsets.UTF_8).contains(secret);
        if (inUri || inBody) {
            throw new Problem(
                    ProblemType.KEY_MISPLACED,
                    Step.READ_REQUEST,
                    "the key may stand in the Authorization header only");
        }
    }

    /** Copies the headers that a target may see. */
    static void copyHeaders(CallerIdentity caller, MultiMap from, RequestOptions to) {
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean secret = !caller.secret().isEmpty();
            boolean carriesKey =
                    secret
                            && (header.getValue().contains(caller.secret())
                                    || decoded(header.getValue()).contains(caller.secret()));
            if (!HELD_BACK.contains(name) && !carriesKey) {
                to.addHeader(header.getKey(), header.getValue());
            }
        }
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
