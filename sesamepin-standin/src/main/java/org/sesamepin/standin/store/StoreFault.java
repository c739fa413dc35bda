package org.sesamepin.standin.store;

import io.vertx.core.json.JsonObject;
import java.util.Locale;

/**
 * A fault that the stand-in store simulates.
 *
 * @param kind kind of the fault
 * @param ms delay of each response for the kind {@code SLOW}, milliseconds
 * @param count number of writes whose response is lost, for the kind {@code LOST_ANSWERS}
 */
public record StoreFault(Kind kind, long ms, long count) {
    /** Kinds of fault. */
    public enum Kind {
        NONE,
        /** Connections are closed without a response, and no lease expires during the outage. */
        OUTAGE,
        /** Responses are delayed. */
        SLOW,
        /** Writes are applied, but the connection is closed instead of sending the response. */
        LOST_ANSWERS,
        /** Calls are rejected with status 429. */
        RATE_LIMIT,
        /** Reads return the state as it was when the fault was set. */
        STALE_READS,
        /** All leases are revoked when the fault is set. */
        LEASES_LAPSE
    }

    /** No fault. */
    public static final StoreFault NONE = new StoreFault(Kind.NONE, 0, 0);

    /**
     * Parses a fault, for example {@code {"kind":"slow","ms":500}}; throws {@link
     * IllegalArgumentException} for an unknown kind.
     */
    public static StoreFault fromJson(JsonObject json) {
        String name = json.getString("kind", "none").toUpperCase(Locale.ROOT).replace('-', '_');
        return new StoreFault(
                Kind.valueOf(name), json.getLong("ms", 0L), json.getLong("count", 1L));
    }

    /** Returns the fault that remains after the response to one more write has been lost. */
    StoreFault afterLostResponse() {
        return count <= 1 ? NONE : new StoreFault(kind, ms, count - 1);
    }
}
