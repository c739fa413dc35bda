package org.sesamepin.core.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;

/** Collects resources as they are opened and closes them in reverse order. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> mResources = new ArrayDeque<>();

    /**
     * Registers {@code resource} and returns it, so that it can be registered where it is opened.
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        mResources.push(resource);
        return resource;
    }

    /**
     * Closes all registered resources in reverse order. A resource is closed even if closing
     * another one fails. The first exception is thrown, with later ones added as suppressed.
     */
    @Override
    public synchronized void close() throws Exception {
        Exception firstFailure = null;
        while (!mResources.isEmpty()) {
            try {
                mResources.pop().close();
            } catch (Exception e) {
                if (firstFailure == null) {
                    firstFailure = e;
                } else {
                    firstFailure.addSuppressed(e);
                }
            }
        }
        if (firstFailure != null) {
            throw firstFailure;
        }
    }
}
