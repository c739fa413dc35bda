package org.sesamepin.node.serving;

import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PlaceAnswer;

/** Reads the messages of coordinators, which may be of a later build. */
final class PlacementMessages {
    private PlacementMessages() {}

    /**
     * Returns the answer in a coordinator's reply. It has no outcome if the reply is of another
     * kind, as it has when Thrift decodes an outcome that only a later build knows.
     */
    static PlaceAnswer answerIn(PeerReply reply) {
        return reply.isSet(PeerReply._Fields.PLACE_ANSWER)
                ? reply.getPlaceAnswer()
                : new PlaceAnswer();
    }
}
