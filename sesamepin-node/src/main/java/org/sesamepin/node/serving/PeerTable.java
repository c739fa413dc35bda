package org.sesamepin.node.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.time.Ticker;

/**
 * The other hosts of the fleet as registered in the store, with the time of the last message from
 * each. Confined to the event loop.
 */
public final class PeerTable {
    /**
     * A registered host.
     *
     * @param name name of the host
     * @param address IP address and port at which it listens for other hosts
     * @param cores processor capacity of the host, in cores
     */
    public record Peer(String name, String address, double cores) {}

    /** Largest number of peers to all of which a host reports at once. */
    static final int MAX_PEERS_IN_ONE_ROUND = 12;

    /** Number of peers to which a host of a larger fleet reports at once, in turns. */
    private static final int PEERS_PER_ROUND = 4;

    /** Three times the longest interval between two report rounds. */
    private static final long CONTACT_TIMEOUT_PER_ROUND_NANOS =
            TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long SHARE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long FIRST_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_AVOIDANCE_DOUBLINGS = 3;

    /** Calls to a peer that failed since its last message, and until when the peer is avoided. */
    private record Failures(int count, long avoidUntil) {}

    private final Ticker mTicker;

    /** A host that is no longer registered, and since when. */
    private record DepartedPeer(Peer peer, long leftAt) {}

    private final String mSelf;
    private final double mOwnCores;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final Map<String, Long> mLastContactAt = new HashMap<>();
    private final Map<String, DepartedPeer> mDeparted = new HashMap<>();
    private final Map<String, Boolean> mStoreReachable = new HashMap<>();
    private final Map<String, Failures> mFailures = new HashMap<>();
    private long mVersion;

    /**
     * Creates a table of the peers of {@code self}.
     *
     * @param ownCores processor capacity of this host, in cores
     */
    public PeerTable(Ticker ticker, String self, double ownCores) {
        mTicker = ticker;
        mSelf = self;
        mOwnCores = ownCores;
    }

    public String self() {
        return mSelf;
    }

    /** Records that a host is registered. */
    public void register(Peer peer) {
        if (!peer.name().equals(mSelf)) {
            Peer previous = mPeers.put(peer.name(), peer);
            mDeparted.remove(peer.name());
            if (!peer.equals(previous)) {
                mVersion++;
            }
        }
    }

    /** Records that a host is no longer registered. */
    public void unregister(String name) {
        Peer peer = mPeers.remove(name);
        if (peer != null) {
            mDeparted.put(name, new DepartedPeer(peer, mTicker.nanoTime()));
            mLastContactAt.remove(name);
            mFailures.remove(name);
            mVersion++;
        }
    }

    /** Returns a number that changes whenever the set of registered hosts changes. */
    public long version() {
        return mVersion;
    }

    /**
     * Records a message from a host.
     *
     * @param storeReachable whether that host reaches the store itself
     */
    public void recordContact(String name, boolean storeReachable) {
        mLastContactAt.put(name, mTicker.nanoTime());
        mStoreReachable.put(name, storeReachable);
        mFailures.remove(name);
    }

    /**
     * Records that a peer did not answer a call. It counts as unreachable for a time that doubles
     * with each further failure, or until its next message.
     */
    public void recordNoAnswer(String name) {
        Failures previous = mFailures.get(name);
        int count = previous == null ? 0 : previous.count();
        long avoidNanos = FIRST_AVOIDANCE_NANOS << Math.min(count, MAX_AVOIDANCE_DOUBLINGS);
        mFailures.put(name, new Failures(count + 1, mTicker.nanoTime() + avoidNanos));
    }

    /** Returns the peer {@code name} if it is registered, reachable or not, or null. */
    public @Nullable Peer findRegistered(String name) {
        return mPeers.get(name);
    }

    /** Returns all registered peers. */
    public Collection<Peer> registered() {
        return mPeers.values();
    }

    /** Returns the peer {@code name} if it is reachable, or null. */
    public @Nullable Peer find(String name) {
        Peer peer = mPeers.get(name);
        return peer != null && isReachable(peer) ? peer : null;
    }

    private boolean isReachable(Peer peer) {
        long now = mTicker.nanoTime();
        Failures failures = mFailures.get(peer.name());
        if (failures != null && now - failures.avoidUntil() < 0) {
            return false;
        }
        Long lastContactAt = mLastContactAt.get(peer.name());
        if (lastContactAt == null) {
            // In a large fleet it takes long until each host has reported to each other one.
            return isLargeFleet();
        }
        return now - lastContactAt < contactTimeoutNanos();
    }

    /**
     * Returns how long a host may send no message and still count as reachable; it grows with the
     * number of rounds in which a host reports to all its peers.
     */
    private long contactTimeoutNanos() {
        int rounds = (mPeers.size() + peersPerRound() - 1) / peersPerRound();
        return CONTACT_TIMEOUT_PER_ROUND_NANOS * Math.max(1, rounds);
    }

    /** Returns the number of peers to which a host reports at once. */
    int peersPerRound() {
        return isLargeFleet() ? PEERS_PER_ROUND : MAX_PEERS_IN_ONE_ROUND;
    }

    /** Returns whether the fleet is too large for each host to know the loads of all others. */
    public boolean isLargeFleet() {
        return mPeers.size() > MAX_PEERS_IN_ONE_ROUND;
    }

    /** Returns the processor capacity of each registered host, this host included, in cores. */
    Map<String, Double> coresByHost() {
        Map<String, Double> cores = new HashMap<>();
        mPeers.values().forEach(peer -> cores.put(peer.name(), peer.cores()));
        cores.put(mSelf, mOwnCores);
        return cores;
    }

    /** Returns the peers that sent a message a short time ago. */
    public List<Peer> reachable() {
        return mPeers.values().stream().filter(this::isReachable).toList();
    }

    /** Returns the reachable peers that reach the store themselves. */
    public List<Peer> reachingStore() {
        return reachable().stream()
                .filter(peer -> mStoreReachable.getOrDefault(peer.name(), false))
                .toList();
    }

    /**
     * Returns the processor capacity, in cores, of each host that may use a share of the customers'
     * rates. A host that left counts for a while longer: it may still serve without knowing that
     * its registration has expired.
     */
    public Map<String, Double> coresByRateHost() {
        long now = mTicker.nanoTime();
        mDeparted.values().removeIf(departed -> now - departed.leftAt() > SHARE_RETENTION_NANOS);
        Map<String, Double> cores = coresByHost();
        mDeparted.forEach((name, departed) -> cores.put(name, departed.peer().cores()));
        return cores;
    }
}
