package org.sesamepin.core.bundle;

import java.util.List;

/**
 * Routes the requests under a path to a plain service.
 *
 * @param name the route's name
 * @param path exact path, or a prefix when it ends in {@code /*}
 * @param methods allowed HTTP methods
 * @param service name of the service that handles the requests
 * @param open whether callers need no key
 * @param idempotent whether a request may be sent again
 * @param timeoutMs longest time until a response is complete, in milliseconds
 */
public record Route(
        String name,
        String path,
        List<String> methods,
        String service,
        boolean open,
        boolean idempotent,
        long timeoutMs) {
    private static final String WILDCARD = "/*";

    /** Returns whether {@code requestPath} matches the path of this route. */
    public boolean matches(String requestPath) {
        if (!path.endsWith(WILDCARD)) {
            return path.equals(requestPath);
        }
        String prefix = path.substring(0, path.length() - WILDCARD.length());
        return requestPath.equals(prefix) || requestPath.startsWith(prefix + "/");
    }
}
