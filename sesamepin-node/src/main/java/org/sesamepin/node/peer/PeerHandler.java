package org.sesamepin.node.peer;

import io.vertx.core.Future;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;

/** Handles requests of one kind from other nodes. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a request and returns the reply. A failed future is sent to the peer as a failure
     * reply.
     */
    Future<PeerReply> handle(PeerRequest request);
}
