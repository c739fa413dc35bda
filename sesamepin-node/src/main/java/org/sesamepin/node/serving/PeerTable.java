package org.sesamepin.node.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.time.Ticker;

/**
 * The other hosts of the fleet, as they registered in the store, and when each was last heard.
 * Confined to the event loop.
 */
public final class PeerTable {
    /**
     * A registered host.
     *
     * @param name name of the host
     * @param address IP number and port for calls of other hosts
     */
    public record Peer(String name, String address) {}

    /** Peers that a host tells of itself at once; in a larger fleet it tells them in turns. */
    static final int PEERS_PER_ROUND = 12;

    /** Three times the longest pause between two turns. */
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

    /** Notes that a host is registered. */
    public void register(Peer peer) {
        if (!peer.name().equals(mSelf)) {
            mPeers.put(peer.name(), peer);
            mLeftAt.remove(peer.name());
        }
    }

    /** Notes that a host is no longer registered. */
    public void unregister(String name) {
        if (mPeers.remove(name) != null) {
            mLeftAt.put(name, mTicker.nanoTime());
        }
    }

    /** Notes a message of a host. */
    public void recordContact(String name, boolean storeReachable) {
        mLastContactAt.put(name, mTicker.nanoTime());
        mStoreReachable.put(name, storeReachable);
    }

    /** Returns all registered peers. */
    public Collection<Peer> registered() {
        return mPeers.values();
    }

    /** Returns the peer {@code name} when it was heard a short time ago, or null. */
    public @Nullable Peer find(String name) {
        Peer peer = mPeers.get(name);
        return peer != null && isReachable(peer) ? peer : null;
    }

    private boolean isReachable(Peer peer) {
        Long at = mLastContactAt.get(peer.name());
        return at != null && mTicker.nanoTime() - at < contactTimeoutNanos();
    }

    /** Returns how long a host may be silent and yet live, as it tells all peers in turns. */
    private long contactTimeoutNanos() {
        int turns = (mPeers.size() + PEERS_PER_ROUND - 1) / PEERS_PER_ROUND;
        return CONTACT_TIMEOUT_PER_ROUND_NANOS * Math.max(1, turns);
    }

    /** Returns the peers that were heard a short time ago. */
    public List<Peer> reachable() {
        return mPeers.values().stream().filter(this::isReachable).toList();
    }

    /** Returns the reachable peers that the store answers. */
    public List<Peer> reachingStore() {
        return reachable().stream()
                .filter(peer -> mStoreReachable.getOrDefault(peer.name(), false))
                .toList();
    }

    /**
     * Returns the number of hosts among which rates are divided. A host that left counts for a
     * while yet: it may still serve without knowing that its registration has lapsed.
     */
    public int rateShareCount() {
        long now = mTicker.nanoTime();
        mLeftAt.values().removeIf(at -> now - at > SHARE_RETENTION_NANOS);
        return 1 + mPeers.size() + mLeftAt.size();
    }
}
