package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Activates each newer configuration as soon as it is read from the store or from a peer, and never
 * an older one.
 */
public final class ConfigUpdater implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigUpdater.class);

    private final FleetProtocol mProtocol;
    private final ServingState mState;
    private final List<Runnable> mListeners = new ArrayList<>();
    private @Nullable StoreEntry mActive;

    /** Creates an updater of the configuration in {@code state}. */
    public ConfigUpdater(FleetProtocol protocol, ServingState state) {
        mProtocol = protocol;
        mState = state;
    }

    /** Registers a listener that runs after each activation of a configuration. */
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the entry of the configuration in force, or null before the first one. */
    @Nullable StoreEntry activeEntry() {
        return mActive;
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        listing.entries().forEach(entry -> update(entry, "listing"));
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        for (StoreChange change : changes.changes()) {
            StoreEntry entry = change.entry();
            if (entry != null) {
                update(entry, "watch");
            }
        }
    }

    /**
     * Activates the configuration of an entry if it is newer.
     *
     * @param source how this host has learned the entry, for the log
     */
    void update(StoreEntry entry, String source) {
        if (!mProtocol.isConfig(entry.key())) {
            return;
        }
        try {
            ServingConfig config = mProtocol.decodeConfig(entry.value());
            boolean activated = mState.activateIfNewer(config);
            LOG.info(
                    "step=config version={} store_revision={} source={} routes={} customers={}"
                            + " outcome={}",
                    config.version(),
                    entry.modRevision(),
                    source,
                    config.routes().size(),
                    config.customers().size(),
                    activated ? "in-force" : "not-newer");
            if (activated) {
                mActive = entry;
                mListeners.forEach(Runnable::run);
            }
        } catch (SesamepinException e) {
            LOG.error(
                    "step=config store_revision={} source={} outcome=refused",
                    entry.modRevision(),
                    source,
                    e);
        }
    }
}
