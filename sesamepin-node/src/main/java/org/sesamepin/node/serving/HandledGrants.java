package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.List;
import org.sesamepin.core.target.ReceivedGrants;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.GrantReceipt;
import org.sesamepin.node.peer.generated.PlaceAnswer;
import org.sesamepin.node.peer.generated.PlaceGrant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The coordinators' grants that this host has handled, for its reports. A grant is recorded in the
 * same step of the event loop in which its request starts, so that no report names a grant whose
 * request it does not count. Confined to the event loop.
 */
final class HandledGrants {
    private static final Logger LOG = LoggerFactory.getLogger(HandledGrants.class);

    private final Ticker mTicker;
    private final ReceivedGrants mReceived = new ReceivedGrants();
    private Runnable mUnusedListener = () -> {};

    HandledGrants(Ticker ticker) {
        mTicker = ticker;
    }

    /** Sets the listener that runs each time a grant was not used, so that its slot is free. */
    void setUnusedListener(Runnable listener) {
        mUnusedListener = listener;
    }

    /** Records that no request starts with a grant that this host has got. */
    void recordUnused() {
        mUnusedListener.run();
    }

    /** Records a coordinator's grant; returns whether it may be used. */
    boolean record(String requestId, String service, PlaceAnswer answer) {
        return !answer.isSetNumber()
                || record(requestId, service, answer.getEpoch(), answer.getNumber());
    }

    /**
     * Records a coordinator's grant to a request or item that waited; returns whether it may be
     * used.
     */
    boolean record(PlaceGrant grant) {
        return !grant.isSetNumber()
                || record(
                        grant.getRequestId(),
                        grant.getServiceName(),
                        grant.getEpoch(),
                        grant.getNumber());
    }

    private boolean record(String requestId, String service, long epoch, long number) {
        ReceivedGrants.Source source = new ReceivedGrants.Source(service, epoch);
        boolean mayBeUsed = mReceived.record(source, number, mTicker.nanoTime());
        if (!mayBeUsed) {
            LOG.info(
                    "step=place request={} service={} grant={} outcome=late-grant",
                    requestId,
                    service,
                    number);
        }
        return mayBeUsed;
    }

    /** Returns the receipts for a report that is made now. */
    List<GrantReceipt> receipts() {
        List<GrantReceipt> receipts = new ArrayList<>();
        mReceived
                .receipts(mTicker.nanoTime())
                .forEach(
                        (source, receipt) ->
                                receipts.add(
                                        new GrantReceipt(
                                                source.service(),
                                                source.epoch(),
                                                receipt.upTo(),
                                                receipt.beyond())));
        return receipts;
    }

    /** Returns the number of grants that did not arrive in time. */
    long givenUp() {
        return mReceived.givenUp();
    }
}
