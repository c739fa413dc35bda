package org.sesamepin.node.prompt;

import io.vertx.core.http.HttpClosedException;
import java.io.IOException;

/** Tells the loss of a connection from the other failures of a request. */
public final class LostConnections {
    private LostConnections() {}

    /** Returns whether a request that was sent failed since its connection was closed or reset. */
    public static boolean isLost(Throwable failure) {
        return failure instanceof HttpClosedException || failure instanceof IOException;
    }
}
