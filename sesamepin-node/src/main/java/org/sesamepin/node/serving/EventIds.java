package org.sesamepin.node.serving;

import org.jspecify.annotations.Nullable;

/** Ids of stream events: whole numbers that increase by one. */
final class EventIds {
    /** Stands for an id that is missing or not a number. */
    static final long NONE = -1;

    private EventIds() {}

    /** Returns the number, or {@link #NONE}. */
    static long parse(@Nullable String id) {
        if (id == null) {
            return NONE;
        }
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            return NONE;
        }
    }
}
