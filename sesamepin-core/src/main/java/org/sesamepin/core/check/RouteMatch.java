package org.sesamepin.core.check;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * The requests that a route matches, and which of two routes takes precedence.
 *
 * @param type how the path is compared
 * @param host host name; empty where routes match any host
 * @param path path or prefix
 */
public record RouteMatch(Type type, String host, String path) {
    /** How the path of a request is compared with the path of the route. */
    public enum Type {
        /** Equal paths match; the first route in file order takes precedence. */
        EXACT,
        /** The path itself and what lies below it match; the first route takes precedence. */
        SUBTREE,
        /** Paths that start with the prefix match; the longest prefix takes precedence. */
        LONGEST_PREFIX
    }

    /**
     * Returns whether a request with this match in an earlier route never gets to {@code later}.
     */
    boolean hides(RouteMatch later) {
        if (!host.equalsIgnoreCase(later.host())) {
            return false;
        }
        if (type != Type.SUBTREE) {
            return type == later.type() && path.equals(later.path());
        }
        return later.path().equals(path) || later.path().startsWith(path + '/');
    }

    /** Returns why no request can match, or null. */
    @Nullable String describeMismatch() {
        if (type == Type.LONGEST_PREFIX && host.isEmpty()) {
            return "the host name is empty";
        }
        if (host.indexOf(':') >= 0) {
            return "host '" + host + "' has a port, which is not compared; remove it";
        }
        boolean hasSlash = path.startsWith("/") || type == Type.SUBTREE && path.isEmpty();
        if (!hasSlash && !path.isEmpty()) {
            return "path '" + path + "' does not start with '/'";
        }
        if (path.indexOf('?') >= 0 || path.indexOf('#') >= 0) {
            return "path '" + path + "' has a '?' or '#'; paths are compared without the query";
        }
        return null;
    }

    /** Returns what is probably not meant as written, or null. */
    @Nullable String describeLiteral() {
        if (path.indexOf('*') >= 0) {
            String usage =
                    type == Type.LONGEST_PREFIX
                            ? "; a prefix needs no '*'"
                            : "; only a final '/*' makes a prefix";
            return "the '*' in path '" + path + "' is compared literally" + usage;
        }
        if (type == Type.LONGEST_PREFIX && !path.endsWith("/")) {
            return "prefix '"
                    + path
                    + "' also matches paths that go on in the same segment, such as '"
                    + path
                    + "x'; end it with '/'";
        }
        return null;
    }

    @Override
    public String toString() {
        String suffix = type == Type.SUBTREE ? "/*" : "";
        return host.toLowerCase(Locale.ROOT) + path + suffix;
    }
}
