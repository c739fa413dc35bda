package org.sesamepin.node.peer;

import io.vertx.core.Future;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;

/** Answers calls of one kind from other nodes. */
@FunctionalInterface
public interface PeerHandler {
    /** Answers a request; a failed future becomes a failure reply. */
    Future<PeerReply> handle(PeerRequest request);
}
