package org.sesamepin.node.serving;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes registrations of hosts to the peer table. */
final class PeerMirror implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerMirror.class);

    private final PeerTable mPeers;

    PeerMirror(PeerTable peers) {
        mPeers = peers;
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        Set<String> listed = new HashSet<>();
        for (StoreEntry entry : listing.entries()) {
            if (ServingKeys.Kind.HOST.matches(entry.key())) {
                listed.add(ServingKeys.Kind.HOST.name(entry.key()));
                registered(entry);
            }
        }
        List<PeerTable.Peer> known = new ArrayList<>(mPeers.registered());
        known.stream()
                .map(PeerTable.Peer::name)
                .filter(n -> !listed.contains(n))
                .forEach(this::left);
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        for (StoreChange change : changes.changes()) {
            if (!ServingKeys.Kind.HOST.matches(change.key())) {
                continue;
            }
            StoreEntry entry = change.entry();
            if (entry == null) {
                left(ServingKeys.Kind.HOST.name(change.key()));
            } else {
                registered(entry);
            }
        }
    }

    private void registered(StoreEntry entry) {
        String name = ServingKeys.Kind.HOST.name(entry.key());
        try {
            String address = new JsonObject(entry.text()).getString("peer");
            if (address == null) {
                throw new DecodeException("no address");
            }
            mPeers.registered(new PeerTable.Peer(name, address));
            LOG.info("step=peer peer={} address={} outcome=registered", name, address);
        } catch (DecodeException | ClassCastException e) {
            LOG.error("step=peer peer={} outcome=unusable cause={}", name, e.getMessage());
        }
    }

    private void left(String name) {
        mPeers.left(name);
        LOG.info("step=peer peer={} outcome=left", name);
    }
}
