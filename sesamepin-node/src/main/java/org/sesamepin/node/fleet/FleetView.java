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
 * What this node knows of the other nodes by their heartbeats. It steers routing and the choice of
 * owners; authority never rests on it. Thread-safe.
 */
public final class FleetView {
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private record Heard(HostState state, long at) {}

    private final String mSelf;
    private final Ticker mTicker;
    private final Map<String, Heard> mHeard = new ConcurrentHashMap<>();
    private final Set<String> mAddresses = ConcurrentHashMap.newKeySet();
    private volatile boolean mDraining;
    private volatile OwnerTable mOwners;

    /** Creates the view of {@code self}, which knows the seed addresses only. */
    public FleetView(String self, Collection<String> seeds, Ticker ticker) {
        mSelf = self;
        mTicker = ticker;
        mAddresses.addAll(seeds);
        mOwners = new OwnerTable(List.of(self), self);
    }

    /** Notes what a node said of itself. */
    public void heard(HostState state) {
        mHeard.put(state.getHost(), new Heard(state, mTicker.nanoTime()));
        mAddresses.add(state.getPeerAddress());
    }

    /** Replaces the addresses known from the store; those of silent hosts are forgotten. */
    public void setAddresses(Collection<String> addresses) {
        mAddresses.addAll(addresses);
        mAddresses.removeIf(a -> !addresses.contains(a) && !isHeardAt(a));
    }

    private boolean isHeardAt(String address) {
        return mHeard.values().stream()
                .anyMatch(h -> h.state().getPeerAddress().equals(address) && isRecent(h));
    }

    public Set<String> addresses() {
        return Set.copyOf(mAddresses);
    }

    /** Takes this host out of the view, because it is stopping. */
    public void drain() {
        mDraining = true;
    }

    public boolean isDraining() {
        return mDraining;
    }

    /** Recomputes the view from what was heard lately; called with each heartbeat. */
    public List<String> refresh() {
        TreeSet<String> live = new TreeSet<>();
        if (!mDraining) {
            live.add(mSelf);
        }
        for (Heard heard : mHeard.values()) {
            if (isRecent(heard) && !heard.state().isDraining()) {
                live.add(heard.state().getHost());
            }
        }
        List<String> view = new ArrayList<>(live);
        if (!view.equals(mOwners.view())) {
            mOwners = new OwnerTable(view, mSelf);
        }
        return mOwners.view();
    }

    /** Returns the hosts among which owners are chosen, sorted. */
    public List<String> view() {
        return mOwners.view();
    }

    /** Returns the host that owns {@code key}; this host when no other is left. */
    public String ownerOf(String key) {
        return mOwners.owner(key);
    }

    public boolean isSelf(String host) {
        return mSelf.equals(host);
    }

    public String self() {
        return mSelf;
    }

    /** Returns the peer address of a host, or null when it was never heard of. */
    public @Nullable String addressOf(String host) {
        Heard heard = mHeard.get(host);
        return heard == null ? null : heard.state().getPeerAddress();
    }

    public boolean isLive(String host) {
        Heard heard = mHeard.get(host);
        return heard != null && isRecent(heard);
    }

    /** Returns what the hosts heard lately said of themselves. */
    public List<HostState> livePeerStates() {
        return mHeard.values().stream().filter(this::isRecent).map(Heard::state).toList();
    }

    /** Returns what the target's owner said of it last, or null. */
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

    private boolean isRecent(Heard heard) {
        return mTicker.nanoTime() - heard.at() < SILENCE_NANOS;
    }
}
