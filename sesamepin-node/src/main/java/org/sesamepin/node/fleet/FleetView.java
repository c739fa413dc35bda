package org.sesamepin.node.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.OwnerTable;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.peer.generated.TargetLoad;

/**
 * The states that the other nodes report in their heartbeats, and the live hosts derived from them.
 * The view serves routing and the choice of owners only: whether this host may use its share of the
 * customers' rates never depends on it. Thread-safe.
 */
public final class FleetView {
    private static final long LIVENESS_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private record ReceivedState(HostState state, long receivedAt) {}

    private final String mSelf;
    private final Ticker mTicker;
    private final Map<String, ReceivedState> mStates = new ConcurrentHashMap<>();
    private final Set<String> mPeerAddresses = ConcurrentHashMap.newKeySet();
    private volatile boolean mDraining;
    private volatile OwnerTable mOwners;

    /** Creates the view of the host {@code self}, which contains only the seed addresses so far. */
    public FleetView(String self, Collection<String> seeds, Ticker ticker) {
        mSelf = self;
        mTicker = ticker;
        mPeerAddresses.addAll(seeds);
        mOwners = new OwnerTable(List.of(self), self);
    }

    /** Records the state that a node reported, and its peer address. */
    public void recordState(HostState state) {
        mStates.put(state.getHost(), new ReceivedState(state, mTicker.nanoTime()));
        mPeerAddresses.add(state.getPeerAddress());
    }

    /**
     * Replaces the peer addresses by those found in the store, but keeps the addresses of hosts
     * whose heartbeats still arrive.
     */
    public void setPeerAddresses(Collection<String> addresses) {
        mPeerAddresses.addAll(addresses);
        mPeerAddresses.removeIf(a -> !addresses.contains(a) && !hasLiveHostAt(a));
    }

    private boolean hasLiveHostAt(String address) {
        return mStates.values().stream()
                .anyMatch(
                        received ->
                                received.state().getPeerAddress().equals(address)
                                        && isRecent(received));
    }

    /** Returns the peer addresses, as IP number with port, to which heartbeats are sent. */
    public Set<String> peerAddresses() {
        return Set.copyOf(mPeerAddresses);
    }

    /** Marks this host as draining; the next {@link #refresh} removes it from its own view. */
    public void drain() {
        mDraining = true;
    }

    public boolean isDraining() {
        return mDraining;
    }

    /** Recomputes the view from the recently received states; called with each heartbeat. */
    public List<String> refresh() {
        TreeSet<String> live = new TreeSet<>();
        if (!mDraining) {
            live.add(mSelf);
        }
        for (ReceivedState received : mStates.values()) {
            if (isRecent(received) && !received.state().isDraining()) {
                live.add(received.state().getHost());
            }
        }
        List<String> view = new ArrayList<>(live);
        if (!view.equals(mOwners.view())) {
            mOwners = new OwnerTable(view, mSelf);
        }
        return mOwners.view();
    }

    /** Returns the hosts among which owners are chosen, in sorted order. */
    public List<String> view() {
        return mOwners.view();
    }

    /** Returns the host that owns {@code key}; this host when the view is empty. */
    public String ownerOf(String key) {
        return mOwners.owner(key);
    }

    public boolean isSelf(String host) {
        return mSelf.equals(host);
    }

    public String self() {
        return mSelf;
    }

    /** Returns the peer address of a host, or null when the host never reported its state. */
    public @Nullable String addressOf(String host) {
        ReceivedState received = mStates.get(host);
        return received == null ? null : received.state().getPeerAddress();
    }

    /** Returns whether another host reported its state within the liveness timeout. */
    public boolean isLive(String host) {
        ReceivedState received = mStates.get(host);
        return received != null && isRecent(received);
    }

    /** Returns the last state of each other host that reported within the liveness timeout. */
    public List<HostState> livePeerStates() {
        return mStates.values().stream().filter(this::isRecent).map(ReceivedState::state).toList();
    }

    /** Returns the load of a target as its owner last reported it, or null when none did. */
    public @Nullable TargetLoad loadOf(String target) {
        for (HostState state : livePeerStates()) {
            for (TargetLoad load : state.getTargets()) {
                if (load.getTarget().equals(target)) {
                    return load;
                }
            }
        }
        return null;
    }

    private boolean isRecent(ReceivedState received) {
        return mTicker.nanoTime() - received.receivedAt() < LIVENESS_TIMEOUT_NANOS;
    }
}
