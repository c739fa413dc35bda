package org.sesamepin.core.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;

/** Gathers resources as they are opened and closes them in reverse order. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> mResources = new ArrayDeque<>();

    /** Registers {@code resource} and returns it, so that opening and registering are one step. */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        mResources.push(resource);
        return resource;
    }

    /**
     * Closes everything that was registered, the latest first. Each resource is closed even when
     * another fails; the first failure is thrown with the others suppressed.
     */
    @Override
    public synchronized void close() throws Exception {
        Exception first = null;
        while (!mResources.isEmpty()) {
            try {
                mResources.pop().close();
            } catch (Exception e) {
                if (first == null) {
                    first = e;
                } else {
                    first.addSuppressed(e);
                }
            }
        }
        if (first != null) {
            throw first;
        }
    }
}
