package org.sesamepin.node.serving;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoredJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Updates the peer table from the registrations of hosts in the store. */
final class PeerRegistrationListener implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRegistrationListener.class);

    private static final double MAX_CORES = 10_000;

    private final PeerTable mPeers;

    PeerRegistrationListener(PeerTable peers) {
        mPeers = peers;
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        Set<String> listed = new HashSet<>();
        for (StoreEntry entry : listing.entries()) {
            if (ServingKeys.Kind.HOST.matches(entry.key())) {
                listed.add(ServingKeys.Kind.HOST.name(entry.key()));
                register(entry);
            }
        }
        List<PeerTable.Peer> previous = new ArrayList<>(mPeers.registered());
        previous.stream()
                .map(PeerTable.Peer::name)
                .filter(name -> !listed.contains(name))
                .forEach(this::unregister);
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        for (StoreChange change : changes.changes()) {
            if (!ServingKeys.Kind.HOST.matches(change.key())) {
                continue;
            }
            StoreEntry entry = change.entry();
            if (entry == null) {
                unregister(ServingKeys.Kind.HOST.name(change.key()));
            } else {
                register(entry);
            }
        }
    }

    private void register(StoreEntry entry) {
        String name = ServingKeys.Kind.HOST.name(entry.key());
        try {
            PeerTable.Peer peer =
                    StoredJson.decode(entry.key(), entry.value(), json -> decodePeer(name, json));
            mPeers.register(peer);
            LOG.info("step=peer peer={} address={} outcome=registered", name, peer.address());
        } catch (SesamepinException e) {
            LOG.error("step=peer peer={} outcome=unusable cause={}", name, e.getMessage());
        }
    }

    private static PeerTable.Peer decodePeer(String name, JsonObject registration) {
        String address = registration.getString("peer");
        if (address == null) {
            throw new DecodeException("the registration has no peer address");
        }
        PropertyDescriptor.parseAddress(address);
        double cores = registration.getDouble("cores", 1.0);
        if (!(cores > 0 && cores <= MAX_CORES)) {
            throw new DecodeException("cores out of range: " + cores);
        }
        return new PeerTable.Peer(name, address, cores);
    }

    private void unregister(String name) {
        mPeers.unregister(name);
        LOG.info("step=peer peer={} outcome=left", name);
    }
}
