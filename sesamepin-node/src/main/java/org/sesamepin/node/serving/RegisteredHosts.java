package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.node.prompt.HostDirectory;

/** The hosts that are registered in the store, for decisions that one of them takes for all. */
final class RegisteredHosts implements HostDirectory {
    private final PeerTable mPeers;

    RegisteredHosts(PeerTable peers) {
        mPeers = peers;
    }

    @Override
    public String self() {
        return mPeers.self();
    }

    @Override
    public Map<String, String> peerAddresses() {
        return mPeers.registered().stream()
                .collect(Collectors.toMap(PeerTable.Peer::name, PeerTable.Peer::address));
    }

    @Override
    public boolean isProberOf(String key) {
        return isRendezvousOwner(key);
    }

    /** Returns whether this host comes first of all registered hosts for {@code key}. */
    boolean isRendezvousOwner(String key) {
        List<String> hosts = new ArrayList<>();
        hosts.add(self());
        mPeers.registered().forEach(peer -> hosts.add(peer.name()));
        return self().equals(Rendezvous.owner(key, hosts));
    }
}
