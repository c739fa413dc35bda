package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.membership.CoordinatorCandidates;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.time.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines the host that coordinates a service by rendezvous hashing over the powerful reachable
 * hosts, except those that recently did not reply to a request. Hosts may disagree for a while;
 * each coordinator counts only the requests that it receives. Confined to the event loop.
 */
final class CoordinatorLookup {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorLookup.class);

    private static final long SUSPECT_DURATION_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Time without an answer after which a coordinator is suspect. Two coordinators of one service
     * place more requests than the targets have slots, so a host that only stands still for a
     * moment stays the coordinator.
     */
    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * How long a result is used again. Requests need the coordinator many times per second, and a
     * lookup takes time that grows with the number of hosts.
     */
    private static final long RESULT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final Map<String, Long> mSuspectUntil = new HashMap<>();
    private final Map<String, Long> mSilentSince = new HashMap<>();
    private final Map<String, String> mCoordinators = new HashMap<>();
    private long mResultsSince;
    private long mPeersVersion = -1;

    CoordinatorLookup(Ticker ticker, ServingState state, PeerTable peers) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mResultsSince = ticker.nanoTime();
    }

    /**
     * Returns the host that coordinates {@code service}; empty when the service is unknown, or when
     * the configuration states no number of slots for it and the fleet is so small that each host
     * knows the load of all its targets.
     */
    String coordinatorOf(String service) {
        ServiceSpec spec = mState.config().service(service);
        if (spec == null || (spec.slots() == 0 && !mPeers.isLargeFleet())) {
            return "";
        }
        dropOldResults();
        return mCoordinators.computeIfAbsent(service, this::findCoordinator);
    }

    private void dropOldResults() {
        long now = mTicker.nanoTime();
        boolean changed = mPeersVersion != mPeers.version();
        if (changed || now - mResultsSince >= RESULT_TTL_NANOS) {
            mCoordinators.clear();
            mResultsSince = now;
            mPeersVersion = mPeers.version();
        }
    }

    private String findCoordinator(String service) {
        Set<String> candidates = CoordinatorCandidates.select(mPeers.coresByHost());
        Set<String> reachable = new HashSet<>();
        // The peers choose another coordinator as soon as this host has left the registered hosts.
        if (!mState.isDraining()) {
            reachable.add(mPeers.self());
        }
        mPeers.reachable().stream()
                .map(PeerTable.Peer::name)
                .filter(name -> !isSuspect(name))
                .forEach(reachable::add);
        List<String> hosts = new ArrayList<>(candidates);
        hosts.retainAll(reachable);
        String owner = Rendezvous.owner(service, hosts.isEmpty() ? reachable : hosts);
        return owner == null ? "" : owner;
    }

    private boolean isSuspect(String host) {
        Long suspectUntil = mSuspectUntil.get(host);
        return suspectUntil != null && mTicker.nanoTime() - suspectUntil < 0;
    }

    /** Returns the peers that coordinate the services of the configuration. */
    List<PeerTable.Peer> coordinatingPeers() {
        Set<String> names = new HashSet<>();
        mState.config().services().forEach(spec -> names.add(coordinatorOf(spec.name())));
        List<PeerTable.Peer> peers = new ArrayList<>();
        for (String name : names) {
            PeerTable.Peer peer = mPeers.find(name);
            if (peer != null) {
                peers.add(peer);
            }
        }
        return peers;
    }

    /** Returns whether this host coordinates {@code service}. */
    boolean isCoordinatedHere(String service) {
        return coordinatorOf(service).equals(mPeers.self());
    }

    /** Records that a coordinator replied to a request. */
    void recordAnswer(PeerTable.Peer peer) {
        mSilentSince.remove(peer.name());
    }

    /**
     * Records that a coordinator did not reply to a request. It is excluded from coordination for a
     * short time when it cannot be connected to, or has not replied for a while.
     *
     * @param sentAt when the request was sent, a reading of the monotonic clock in nanoseconds
     */
    void recordNoAnswer(PeerTable.Peer peer, long sentAt, Throwable cause) {
        long silentSince = mSilentSince.computeIfAbsent(peer.name(), name -> sentAt);
        boolean unreachable =
                cause instanceof SesamepinException e && e.execution() == Execution.NOT_RUN;
        if (!unreachable && mTicker.nanoTime() - silentSince < MAX_SILENCE_NANOS) {
            return;
        }
        mSilentSince.remove(peer.name());
        mPeers.recordNoAnswer(peer.name());
        mSuspectUntil.put(peer.name(), mTicker.nanoTime() + SUSPECT_DURATION_NANOS);
        mCoordinators.clear();
        LOG.warn(
                "step=place coordinator={} outcome=no-answer cause={}",
                peer.name(),
                cause.getMessage());
    }
}
