package org.sesamepin.node.online;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.CallerKey;

/**
 * Requests that run, so that those of a withdrawn key are ended and a stop can wait for the rest.
 */
public final class SessionRegistry {
    private record Session(CallerIdentity caller, Runnable onWithdrawn) {}

    private final Map<Long, Session> mSessions = new ConcurrentHashMap<>();
    private final AtomicLong mIds = new AtomicLong();

    /** Registers a request; {@code onWithdrawn} runs when its key is withdrawn. */
    public AutoCloseable open(CallerIdentity caller, Runnable onWithdrawn) {
        long id = mIds.incrementAndGet();
        mSessions.put(id, new Session(caller, onWithdrawn));
        return () -> mSessions.remove(id);
    }

    /** Ends the requests whose key is not in force in {@code bundle}. */
    public void enforce(Bundle bundle) {
        for (Session session : mSessions.values()) {
            CallerKey key = session.caller().key();
            if (key != null && !bundle.keys().isActive(key)) {
                session.onWithdrawn().run();
            }
        }
    }

    public int size() {
        return mSessions.size();
    }
}
