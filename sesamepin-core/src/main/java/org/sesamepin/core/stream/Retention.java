package org.sesamepin.core.stream;

import java.util.concurrent.TimeUnit;

/**
 * How long it must be known which version began a stream.
 *
 * @param streamNanos time after its begin in which a stream may be taken up
 * @param statementNanos time after the end of its last target for which the statement of a version
 *     is kept
 */
public record Retention(long streamNanos, long statementNanos) {
    /** Time for which targets without a registration may serve, and hosts may not know it. */
    private static final long STATEMENT_MARGIN_MS = 60_000;

    /** Returns the retention for streams that are taken up at most {@code lifetimeMs} later. */
    public static Retention ofLifetime(long lifetimeMs) {
        return new Retention(
                TimeUnit.MILLISECONDS.toNanos(lifetimeMs),
                TimeUnit.MILLISECONDS.toNanos(lifetimeMs + STATEMENT_MARGIN_MS));
    }
}
