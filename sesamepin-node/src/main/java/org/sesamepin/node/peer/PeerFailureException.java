package org.sesamepin.node.peer;

import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * The peer answered a call with a failure, for example because it is of an older build that does
 * not know the request.
 */
public final class PeerFailureException extends SesamepinException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the failure that the peer at {@code address} named. */
    public PeerFailureException(String address, String message) {
        super(Step.PEER_CALL, address, message);
    }
}
