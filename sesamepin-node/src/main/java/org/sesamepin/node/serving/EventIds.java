package org.sesamepin.node.serving;

import org.jspecify.annotations.Nullable;

/** Ids of stream events: integers that increase by one. */
final class EventIds {
    /** Result for an id that is missing or not an integer. */
    static final long NONE = -1;

    private EventIds() {}

    /**
     * Returns the value of {@code id}, or {@link #NONE}. Spaces around it do not count: an id goes
     * back to a target in a header, whose value has none.
     */
    static long parse(@Nullable String id) {
        if (id == null) {
            return NONE;
        }
        try {
            return Long.parseLong(id.strip());
        } catch (NumberFormatException e) {
            return NONE;
        }
    }
}
