package org.sesamepin.core.bundle;

import java.util.List;

/**
 * A route from callers to a plain service.
 *
 * @param name the route's name
 * @param path exact path, or a prefix when it ends in {@code /*}
 * @param methods HTTP methods allowed
 * @param service name of the service that answers
 * @param open whether callers need no key
 * @param idempotent whether a call may be repeated
 * @param timeoutMs longest time for an answer, milliseconds
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

    /** Tells whether {@code requestPath} falls under this route. */
    public boolean matches(String requestPath) {
        if (!path.endsWith(WILDCARD)) {
            return path.equals(requestPath);
        }
        String prefix = path.substring(0, path.length() - WILDCARD.length());
        return requestPath.equals(prefix) || requestPath.startsWith(prefix + "/");
    }
}
