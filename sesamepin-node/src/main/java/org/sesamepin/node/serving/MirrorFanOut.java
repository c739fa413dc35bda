package org.sesamepin.node.serving;

import java.util.List;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;

/** Forwards the listings and changes of one mirror to several listeners, in list order. */
record MirrorFanOut(List<StoreMirror.Listener> listeners) implements StoreMirror.Listener {
    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        listeners.forEach(
                target -> StoreMirror.notify(target, l -> l.onListing(listing, afterOutage)));
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        listeners.forEach(
                target -> StoreMirror.notify(target, l -> l.onChanges(changes, afterOutage)));
    }

    @Override
    public boolean isOutdatedBy(StoreListing listing) {
        return listeners.stream().anyMatch(listener -> listener.isOutdatedBy(listing));
    }
}
