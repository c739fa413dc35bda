package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.target.RequestSize;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.peer.generated.EndedRequest;
import org.sesamepin.node.peer.generated.PlaceAsk;

/**
 * Requests of this host that declared their tokens and have ended. They travel to the coordinator
 * of their service with the next request for a placement, so that it learns the work of requests
 * from all hosts without further messages. Those of a lost message are lost. Confined to the event
 * loop.
 */
final class EndedRequests {
    /** Requests of one message; further ones are dropped, as the estimates need only some. */
    private static final int MAX_REQUESTS = 8;

    private final Map<String, List<EndedRequest>> mByService = new HashMap<>();

    /**
     * Records an ended request.
     *
     * @param sentNanos time from being sent to its end, nanoseconds
     */
    void record(
            String service, String route, RequestSize size, TargetInstance target, long sentNanos) {
        List<EndedRequest> ended = mByService.computeIfAbsent(service, s -> new ArrayList<>());
        if (ended.size() < MAX_REQUESTS) {
            ended.add(
                    new EndedRequest(
                            route,
                            size.promptTokens(),
                            size.maxOutputTokens(),
                            target.incarnation(),
                            TimeUnit.NANOSECONDS.toMillis(sentNanos)));
        }
    }

    /** Moves the ended requests of the message's service to the message. */
    void addTo(PlaceAsk message) {
        List<EndedRequest> ended = mByService.remove(message.getServiceName());
        if (ended != null) {
            message.setEnded(ended);
        }
    }
}
