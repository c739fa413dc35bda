package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.time.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines the host that coordinates a service by rendezvous hashing over the reachable hosts,
 * except those that recently did not reply to a request. Hosts may disagree for a while; each
 * coordinator counts only the requests that it receives. Confined to the event loop.
 */
final class CoordinatorLookup {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorLookup.class);
    private static final long SUSPECT_DURATION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final Map<String, Long> mSuspectUntil = new HashMap<>();

    CoordinatorLookup(Ticker ticker, ServingState state, PeerTable peers) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
    }

    /**
     * Returns the host that coordinates {@code service}; empty when the service is unknown or the
     * configuration states no number of slots for it.
     */
    String coordinatorOf(String service) {
        ServiceSpec spec = mState.config().service(service);
        if (spec == null || spec.slots() == 0) {
            return "";
        }
        long now = mTicker.nanoTime();
        List<String> hosts = new ArrayList<>();
        hosts.add(mPeers.self());
        for (PeerTable.Peer peer : mPeers.reachable()) {
            Long suspectUntil = mSuspectUntil.get(peer.name());
            if (suspectUntil == null || now - suspectUntil >= 0) {
                hosts.add(peer.name());
            }
        }
        String owner = Rendezvous.owner(service, hosts);
        return owner == null ? "" : owner;
    }

    /** Returns the peers that coordinate the services of the configuration. */
    List<PeerTable.Peer> coordinatingPeers() {
        Set<String> names = new HashSet<>();
        mState.config().services().forEach(spec -> names.add(coordinatorOf(spec.name())));
        return mPeers.reachable().stream().filter(peer -> names.contains(peer.name())).toList();
    }

    /** Returns whether this host coordinates {@code service}. */
    boolean isCoordinatedHere(String service) {
        return coordinatorOf(service).equals(mPeers.self());
    }

    /** Excludes a host that did not reply from coordination for a short time. */
    void markSuspect(PeerTable.Peer peer, Throwable cause) {
        mSuspectUntil.put(peer.name(), mTicker.nanoTime() + SUSPECT_DURATION_NANOS);
        LOG.warn(
                "step=place coordinator={} outcome=no-answer cause={}",
                peer.name(),
                cause.getMessage());
    }
}
