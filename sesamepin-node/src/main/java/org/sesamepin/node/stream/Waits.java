package org.sesamepin.node.stream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Calls that wait for something to be in the store. Those that are over are forgotten, so that a
 * store without answers makes no call stay in memory after its end. Confined to the event loop.
 *
 * @param <K> what is waited for
 */
final class Waits<K> {
    private record Wait(BooleanSupplier isOver, Promise<Void> promise) {}

    private final Map<K, List<Wait>> mWaits = new HashMap<>();

    /**
     * Adds a wait.
     *
     * @param isOver tells that the result is not needed any more
     * @return completes with {@link #complete}; never, when the wait was over before
     */
    Future<Void> add(K key, BooleanSupplier isOver) {
        Promise<Void> promise = Promise.promise();
        mWaits.computeIfAbsent(key, k -> new ArrayList<>()).add(new Wait(isOver, promise));
        return promise.future();
    }

    /** Returns what is waited for. */
    Set<K> keys() {
        return Set.copyOf(mWaits.keySet());
    }

    /** Ends the waits for {@code key}, which is in the store. */
    void complete(K key) {
        List<Wait> waits = mWaits.remove(key);
        if (waits != null) {
            waits.forEach(wait -> wait.promise().complete());
        }
    }

    /** Forgets the waits that are over; returns what nothing waits for any more. */
    Set<K> removeOver() {
        Set<K> left = new HashSet<>();
        mWaits.forEach(
                (key, waits) -> {
                    waits.removeIf(wait -> wait.isOver().getAsBoolean());
                    if (waits.isEmpty()) {
                        left.add(key);
                    }
                });
        mWaits.keySet().removeAll(left);
        return left;
    }
}
