package org.sesamepin.node.online;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.CallerKey;

/**
 * Registry of the running requests. It ends the requests whose key is withdrawn, and lets the
 * shutdown of the node wait until the other ones have completed.
 */
public final class ActiveRequestRegistry {
    private record ActiveRequest(CallerIdentity caller, Runnable onKeyWithdrawn) {}

    private final Map<Long, ActiveRequest> mRequests = new ConcurrentHashMap<>();
    private final AtomicLong mLastId = new AtomicLong();

    /**
     * Registers a running request. Closing the result removes the request from the registry.
     *
     * @param caller the caller, whose key is checked against each new bundle
     * @param onKeyWithdrawn called when the key is withdrawn; it has to end the request
     */
    public AutoCloseable register(CallerIdentity caller, Runnable onKeyWithdrawn) {
        long id = mLastId.incrementAndGet();
        mRequests.put(id, new ActiveRequest(caller, onKeyWithdrawn));
        return () -> mRequests.remove(id);
    }

    /** Ends the requests whose key is not active in {@code bundle}. */
    public void endRequestsOfWithdrawnKeys(Bundle bundle) {
        for (ActiveRequest request : mRequests.values()) {
            CallerKey key = request.caller().key();
            if (key != null && !bundle.keys().isActive(key)) {
                request.onKeyWithdrawn().run();
            }
        }
    }

    public int size() {
        return mRequests.size();
    }
}
