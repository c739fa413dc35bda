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

/**
 * Prevents the keys of callers from reaching targets: rejects a request that contains the key in
 * its path, query or body, and drops headers that contain it.
 */
final class KeyFilter {
    /** Headers that are not forwarded: they apply to one connection or carry credentials. */
    private static final Set<String> NOT_FORWARDED_HEADERS =
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

    /**
     * Rejects a request whose path, query or body contains the caller's key.
     *
     * @throws Problem with {@link ProblemType#KEY_MISPLACED} when it does
     */
    static void rejectMisplacedKey(CallerIdentity caller, HttpServerRequest request, Buffer body)
            throws Problem {
        String secret = caller.secret();
        if (secret.isEmpty()) {
            return;
        }
        boolean inUri =
                request.uri().contains(secret) || urlDecoded(request.uri()).contains(secret);
        boolean inBody = body.toString(StandardCharsets.UTF_8).contains(secret);
        if (inUri || inBody) {
            throw new Problem(
                    ProblemType.KEY_MISPLACED,
                    Step.READ_REQUEST,
                    "the key is allowed in the Authorization header only");
        }
    }

    /** Copies the headers that are forwarded to a target; none of them contains the key. */
    static void copyHeaders(CallerIdentity caller, MultiMap from, RequestOptions to) {
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean hasSecret = !caller.secret().isEmpty();
            boolean carriesKey =
                    hasSecret
                            && (header.getValue().contains(caller.secret())
                                    || urlDecoded(header.getValue()).contains(caller.secret()));
            if (!NOT_FORWARDED_HEADERS.contains(name) && !carriesKey) {
                to.addHeader(header.getKey(), header.getValue());
            }
        }
    }

    private static String urlDecoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
