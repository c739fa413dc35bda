package org.sesamepin.standin.store;

import io.vertx.core.json.JsonObject;
import java.util.Locale;

/**
 * A fault of the stand-in store.
 *
 * @param kind what goes wrong
 * @param ms delay of each answer for a slow store, milliseconds
 * @param count how many writes lose their answer
 */
public record StoreFault(Kind kind, long ms, long count) {
    /** Kinds of fault. */
    public enum Kind {
        NONE,
        /** Connections are closed without an answer, and leases do not run out meanwhile. */
        OUTAGE,
        /** Answers come late. */
        SLOW,
        /** Writes take effect, and the connection is closed instead of an answer. */
        LOST_ANSWERS,
        /** Calls are refused with status 429. */
        RATE_LIMIT,
        /** Reads answer from the state at which the fault began. */
        STALE_READS,
        /** All leases end at once. */
        LEASES_LAPSE
    }

    /** No fault. */
    public static final StoreFault NONE = new StoreFault(Kind.NONE, 0, 0);

    /** Reads a fault, for example {@code {"kind":"slow","ms":500}}. */
    public static StoreFault fromJson(JsonObject json) {
        String name = json.getString("kind", "none").toUpperCase(Locale.ROOT).replace('-', '_');
        return new StoreFault(
                Kind.valueOf(name), json.getLong("ms", 0L), json.getLong("count", 1L));
    }

    /** Returns the fault that remains after one more lost answer. */
    StoreFault afterLostResponse() {
        return count <= 1 ? NONE : new StoreFault(kind, ms, count - 1);
    }
}
