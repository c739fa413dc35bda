package org.sesamepin.node.job;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
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

    /** Returns several holds as one, which is looked at again when the last of them is over. */
    static ItemHold all(List<ItemHold> holds) {
        String names = holds.stream().map(ItemHold::name).collect(Collectors.joining(","));
        long nextCheckMs = holds.stream().mapToLong(ItemHold::nextCheckMs).max().orElse(0);
        return new ItemHold(names, nextCheckMs);
    }

    static ItemHold of(String name, long nextCheckNanos) {
        return new ItemHold(name, TimeUnit.NANOSECONDS.toMillis(nextCheckNanos));
    }
}
