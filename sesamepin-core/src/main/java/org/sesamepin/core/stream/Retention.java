package org.sesamepin.core.stream;

import java.util.concurrent.TimeUnit;

/**
 * How long it must be known which version began a stream.
 *
 * @param streamNanos time after its begin in which a stream may be taken up
 * @param statementNanos time after the end of its last target for which the statement of a version
 *     is kept
 * @param delayNanos time for which a further version is not stated; when it is over, streams that
 *     began before all hosts knew of that version have ended
 */
public record Retention(long streamNanos, long statementNanos, long delayNanos) {
    /** Time for which targets without a registration may serve, and hosts may not know it. */
    private static final long STATEMENT_MARGIN_MS = 60_000;

    /** Time by which a version is stated before records of its first streams are removed. */
    private static final long DELAY_MARGIN_MS = 5_000;

    /** Longest time for which first events of a further version wait for their records. */
    private static final long MAX_DELAY_MS = 60_000;

    /** Returns the retention for streams that are taken up at most {@code lifetimeMs} later. */
    public static Retention ofLifetime(long lifetimeMs) {
        long delayMs = Math.min(MAX_DELAY_MS, Math.max(0, lifetimeMs - DELAY_MARGIN_MS));
        return new Retention(
                TimeUnit.MILLISECONDS.toNanos(lifetimeMs),
                TimeUnit.MILLISECONDS.toNanos(lifetimeMs + STATEMENT_MARGIN_MS),
                TimeUnit.MILLISECONDS.toNanos(delayMs));
    }
}
