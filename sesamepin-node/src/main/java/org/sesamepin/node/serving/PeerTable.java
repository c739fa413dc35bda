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
     */
    public record Peer(String name, String address) {}

    /**
     * Number of peers to which a host reports at once; in a larger fleet it reports to all peers in
     * several rounds.
     */
    static final int PEERS_PER_ROUND = 12;

    /** Three times the longest interval between two report rounds. */
    private static final long CONTACT_TIMEOUT_PER_ROUND_NANOS =
            TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long SHARE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Ticker mTicker;
    private final String mSelf;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final Map<String, Long> mLastContactAt = new HashMap<>();
    private final Map<String, Long> mLeftAt = new HashMap<>();
    private final Map<String, Boolean> mStoreReachable = new HashMap<>();

    /** Creates a table of the peers of {@code self}. */
    public PeerTable(Ticker ticker, String self) {
        mTicker = ticker;
        mSelf = self;
    }

    public String self() {
        return mSelf;
    }

    /** Records that a host is registered. */
    public void register(Peer peer) {
        if (!peer.name().equals(mSelf)) {
            mPeers.put(peer.name(), peer);
            mLeftAt.remove(peer.name());
        }
    }

    /** Records that a host is no longer registered. */
    public void unregister(String name) {
        if (mPeers.remove(name) != null) {
            mLeftAt.put(name, mTicker.nanoTime());
        }
    }

    /**
     * Records a message from a host.
     *
     * @param storeReachable whether that host reaches the store itself
     */
    public void recordContact(String name, boolean storeReachable) {
        mLastContactAt.put(name, mTicker.nanoTime());
        mStoreReachable.put(name, storeReachable);
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
        Long lastContactAt = mLastContactAt.get(peer.name());
        return lastContactAt != null && mTicker.nanoTime() - lastContactAt < contactTimeoutNanos();
    }

    /**
     * Returns how long a host may send no message and still count as reachable; it grows with the
     * number of rounds in which a host reports to all its peers.
     */
    private long contactTimeoutNanos() {
        int rounds = (mPeers.size() + PEERS_PER_ROUND - 1) / PEERS_PER_ROUND;
        return CONTACT_TIMEOUT_PER_ROUND_NANOS * Math.max(1, rounds);
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
     * Returns the number of hosts among which the customers' rates are divided. A host that left
     * counts for a while longer: it may still serve without knowing that its registration has
     * expired.
     */
    public int rateShareCount() {
        long now = mTicker.nanoTime();
        mLeftAt.values().removeIf(leftAt -> now - leftAt > SHARE_RETENTION_NANOS);
        return 1 + mPeers.size() + mLeftAt.size();
    }
}
