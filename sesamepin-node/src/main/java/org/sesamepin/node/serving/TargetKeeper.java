package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.target.TargetDirectory;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the snapshot of the registered targets. An entry that is missing right after a store outage
 * counts for a short time yet: it may have lapsed meanwhile, and its target registers again.
 */
public final class TargetKeeper implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(TargetKeeper.class);
    private static final long REGISTER_AGAIN_MS = 2_200;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetProtocol mProtocol;
    private final ServingState mState;
    private final Map<String, TargetInstance> mTargets = new HashMap<>();
    private final Set<String> mMissing = new HashSet<>();
    private boolean mKeepMissing;
    private long mKeepUntil;

    /** Creates a keeper of {@code state}'s targets. */
    public TargetKeeper(Vertx vertx, Ticker ticker, FleetProtocol protocol, ServingState state) {
        mVertx = vertx;
        mTicker = ticker;
        mProtocol = protocol;
        mState = state;
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        outageEnded(afterOutage);
        Set<String> listed = new HashSet<>();
        for (StoreEntry entry : listing.entries()) {
            listed.add(entry.key());
            take(entry);
        }
        for (String key : Set.copyOf(mTargets.keySet())) {
            if (!listed.contains(key)) {
                remove(key);
            }
        }
        publish();
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        outageEnded(afterOutage);
        for (StoreChange change : changes.changes()) {
            StoreEntry entry = change.entry();
            if (entry == null) {
                remove(change.key());
            } else {
                take(entry);
            }
        }
        if (!changes.changes().isEmpty()) {
            publish();
        }
    }

    private void outageEnded(boolean afterOutage) {
        if (!afterOutage) {
            return;
        }
        mKeepMissing = true;
        mKeepUntil = mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REGISTER_AGAIN_MS);
        mVertx.setTimer(REGISTER_AGAIN_MS + 1, t -> dropMissing());
    }

    private void dropMissing() {
        if (mTicker.nanoTime() - mKeepUntil < 0) {
            return;
        }
        mKeepMissing = false;
        for (String key : mMissing) {
            TargetInstance gone = mTargets.remove(key);
            LOG.info("step=target target={} outcome=gone-after-outage", id(gone));
        }
        mMissing.clear();
        publish();
    }

    private static String id(@Nullable TargetInstance target) {
        return target == null ? "-" : target.incarnation();
    }

    private void take(StoreEntry entry) {
        try {
            TargetInstance target = mProtocol.decodeTarget(entry.key(), entry.value());
            TargetInstance former = mTargets.put(entry.key(), target);
            mMissing.remove(entry.key());
            if (!target.equals(former)) {
                LOG.info(
                        "step=target target={} service={} address={} state={} store_revision={}"
                                + " outcome={}",
                        target.incarnation(),
                        target.service(),
                        target.address(),
                        target.state(),
                        entry.modRevision(),
                        former == null ? "added" : "changed");
            }
        } catch (SesamepinException e) {
            TargetInstance former = mTargets.remove(entry.key());
            LOG.warn(
                    "step=target key={} former={} store_revision={} outcome=unusable cause={}",
                    entry.key(),
                    id(former),
                    entry.modRevision(),
                    e.getMessage());
        }
    }

    private void remove(String key) {
        if (!mTargets.containsKey(key)) {
            return;
        }
        if (mKeepMissing) {
            mMissing.add(key);
            return;
        }
        TargetInstance gone = mTargets.remove(key);
        LOG.info("step=target target={} outcome=gone", id(gone));
    }

    private void publish() {
        mState.setTargets(new TargetDirectory(mTargets.values()));
    }
}
