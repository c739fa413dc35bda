package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.List;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts each newer configuration in force as soon as the store shows it; never an older one. */
public final class ConfigKeeper implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigKeeper.class);

    private final FleetProtocol mProtocol;
    private final ServingState mState;
    private final List<Runnable> mListeners = new ArrayList<>();

    /** Creates a keeper of {@code state}'s configuration. */
    public ConfigKeeper(FleetProtocol protocol, ServingState state) {
        mProtocol = protocol;
        mState = state;
    }

    /** Registers what runs after each change. */
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        listing.entries().forEach(this::take);
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        for (StoreChange change : changes.changes()) {
            StoreEntry entry = change.entry();
            if (entry != null) {
                take(entry);
            }
        }
    }

    private void take(StoreEntry entry) {
        if (!mProtocol.isConfig(entry.key())) {
            return;
        }
        try {
            ServingConfig config = mProtocol.decodeConfig(entry.value());
            boolean adopted = mState.activateIfNewer(config);
            LOG.info(
                    "step=config version={} store_revision={} routes={} customers={} outcome={}",
                    config.version(),
                    entry.modRevision(),
                    config.routes().size(),
                    config.customers().size(),
                    adopted ? "in-force" : "not-newer");
            if (adopted) {
                mListeners.forEach(Runnable::run);
            }
        } catch (SesamepinException e) {
            LOG.error("step=config store_revision={} outcome=refused", entry.modRevision(), e);
        }
    }
}
