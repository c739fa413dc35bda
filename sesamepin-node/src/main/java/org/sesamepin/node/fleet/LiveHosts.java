package org.sesamepin.node.fleet;

import java.util.Map;
import java.util.stream.Collectors;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.prompt.HostDirectory;

/** The hosts whose heartbeats arrive. */
public final class LiveHosts implements HostDirectory {
    private final FleetView mFleet;

    public LiveHosts(FleetView fleet) {
        mFleet = fleet;
    }

    @Override
    public String self() {
        return mFleet.self();
    }

    @Override
    public Map<String, String> peerAddresses() {
        return mFleet.livePeerStates().stream()
                .collect(Collectors.toMap(HostState::getHost, HostState::getPeerAddress));
    }

    @Override
    public boolean isProberOf(String key) {
        return mFleet.isSelf(mFleet.ownerOf(key));
    }
}
