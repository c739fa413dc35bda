package org.sesamepin.node.job;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What keeps an item from being worked on.
 *
 * @param name name of the hold, for logs
 * @param nextCheckMs time until the item is looked at again, milliseconds
 */
record ItemHold(String name, long nextCheckMs) {
    /** Finds the hold of an open item that its owner may not run now. */
    @FunctionalInterface
    interface Finder {
        /** Returns what holds an item of {@code job} back; null when nothing does. */
        @Nullable ItemHold find(OwnedJob job, int index);
    }

    static ItemHold of(String name, long nextCheckNanos) {
        return new ItemHold(name, TimeUnit.NANOSECONDS.toMillis(nextCheckNanos));
    }
}
