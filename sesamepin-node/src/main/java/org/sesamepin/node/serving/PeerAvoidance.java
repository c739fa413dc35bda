package org.sesamepin.node.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The peers that could not open a tunnel a short time ago. Such a peer costs a request one try at
 * most, and all failed tries of this host together are bounded. Confined to the event loop.
 */
final class PeerAvoidance {
    private static final long AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_FAILED_TRIES_PER_WINDOW = 100;

    /** By name of the peer: until when it is not asked for the requests that it could not help. */
    private final Map<String, Map<String, Long>> mUntilByRequest = new HashMap<>();

    private final Deque<Long> mFailedAt = new ArrayDeque<>();

    /** Records that a try to open a tunnel failed, for whatever reason. */
    void recordFailedTry(long now) {
        mFailedAt.add(now);
    }

    /** Returns whether another peer may be asked now. */
    boolean mayTry(long now) {
        while (!mFailedAt.isEmpty() && now - mFailedAt.getFirst() > WINDOW_NANOS) {
            mFailedAt.removeFirst();
        }
        return mFailedAt.size() < MAX_FAILED_TRIES_PER_WINDOW;
    }

    /** Avoids a peer that could not help a request. */
    void avoid(String peer, String requestId, long now) {
        mUntilByRequest
                .computeIfAbsent(peer, p -> new HashMap<>())
                .put(requestId, now + AVOIDANCE_NANOS);
    }

    /** Returns whether other peers are to be asked before this one. */
    boolean isAvoided(String peer, long now) {
        return !avoidedRequests(peer, now).isEmpty();
    }

    /** Returns whether a peer could not help a request a short time ago. */
    boolean couldNotHelp(String peer, String requestId, long now) {
        return avoidedRequests(peer, now).containsKey(requestId);
    }

    private Map<String, Long> avoidedRequests(String peer, long now) {
        Map<String, Long> untilByRequest = mUntilByRequest.getOrDefault(peer, new HashMap<>());
        untilByRequest.values().removeIf(until -> now - until >= 0);
        if (untilByRequest.isEmpty()) {
            mUntilByRequest.remove(peer);
        }
        return untilByRequest;
    }
}
