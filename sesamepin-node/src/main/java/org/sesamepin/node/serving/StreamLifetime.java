package org.sesamepin.node.serving;

import java.util.concurrent.TimeUnit;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;

/** How long after a stream began its caller may still take it up. */
public final class StreamLifetime {
    /** Time that a caller may take until it takes up a stream that has broken off. */
    private static final long MARGIN_MS = TimeUnit.SECONDS.toMillis(10);

    private static final long UNLIMITED_MS = TimeUnit.HOURS.toMillis(1);

    private StreamLifetime() {}

    /** Returns the lifetime for the streams of a configuration, milliseconds. */
    public static long ofMs(ServingConfig config) {
        long longestMs = 0;
        for (ServingRoute route : config.routes().values()) {
            if (route.kind() == RouteKind.RESUMABLE_STREAM) {
                long timeoutMs = route.timeoutMs() > 0 ? route.timeoutMs() : UNLIMITED_MS;
                longestMs = Math.max(longestMs, Math.min(UNLIMITED_MS, timeoutMs));
            }
        }
        return longestMs + MARGIN_MS;
    }
}
