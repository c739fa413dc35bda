package org.sesamepin.node.serving;

import java.nio.ByteBuffer;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.ConfigReply;
import org.sesamepin.node.peer.generated.ConfigRequest;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.spi.StoreEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration from a peer whose report names a newer version, and replies to peers that
 * do so. The store may be silent towards this host, and towards the peers through which it would
 * relay a call. Confined to the event loop.
 */
final class PeerConfigReader {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConfigReader.class);
    private static final long TIMEOUT_MS = 400;

    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final ConfigUpdater mUpdater;
    private boolean mPending;

    PeerConfigReader(
            ServingState state, PeerTable peers, PeerClient peerClient, ConfigUpdater updater) {
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
        mUpdater = updater;
    }

    /** Reads the configuration of the peer that sent {@code report} if it is newer. */
    void recordReport(HostReport report) {
        PeerTable.Peer peer = mPeers.find(report.getHost());
        boolean isNewer = report.getConfigVersion() > mState.config().version();
        if (peer == null || !isNewer || mPending) {
            return;
        }
        mPending = true;
        mPeerClient
                .call(peer.address(), PeerRequest.configRequest(new ConfigRequest()), TIMEOUT_MS)
                .onComplete(done -> mPending = false)
                .map(PeerReply::getConfig)
                .onSuccess(this::adopt)
                .onFailure(
                        e ->
                                LOG.info(
                                        "step=config peer={} outcome=not-read cause={}",
                                        peer.name(),
                                        e.getMessage()));
    }

    private void adopt(ConfigReply reply) {
        if (reply.getRevision() > 0) {
            mUpdater.update(
                    new StoreEntry(reply.getKey(), reply.getValue(), reply.getRevision()), "peer");
        }
    }

    /** Returns the configuration in force here, for a peer. */
    PeerReply reply() {
        StoreEntry entry = mUpdater.activeEntry();
        if (entry == null) {
            return PeerReply.config(new ConfigReply("", ByteBuffer.allocate(0), 0));
        }
        return PeerReply.config(
                new ConfigReply(entry.key(), ByteBuffer.wrap(entry.value()), entry.modRevision()));
    }
}
