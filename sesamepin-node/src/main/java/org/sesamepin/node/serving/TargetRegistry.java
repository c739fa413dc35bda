package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the snapshot of the registered targets up to date. A target whose entry is missing right
 * after a store outage is kept for a short time: the entry may have expired during the outage, and
 * then its target registers again.
 */
public final class TargetRegistry implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(TargetRegistry.class);
    private static final long REREGISTRATION_WINDOW_MS = 2_200;

    /** Keys of removed entries that are remembered; older ones hardly come back. */
    private static final int MAX_REMOVED_KEYS = 4_096;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetProtocol mProtocol;
    private final ServingState mState;
    private final WarmUpTracker mWarmUps;
    private final Map<String, TargetInstance> mTargets = new HashMap<>();
    private final Set<String> mMissingKeys = new HashSet<>();

    /** Revisions of the entries that cannot be decoded, each of which is logged once. */
    private final Map<String, Long> mUnusableRevisions = new HashMap<>();

    /** Revisions of the entries that were read last. */
    private final Map<String, Long> mRevisions = new HashMap<>();

    /** Keys whose entries were removed, the oldest first. */
    private final Set<String> mRemovedKeys = new LinkedHashSet<>();

    private boolean mKeepMissing;
    private long mKeepMissingUntil;

    /**
     * Creates a registry that updates the targets of {@code state}.
     *
     * @param warmUps learns which targets are cold
     */
    TargetRegistry(
            Vertx vertx,
            Ticker ticker,
            FleetProtocol protocol,
            ServingState state,
            WarmUpTracker warmUps) {
        mWarmUps = warmUps;
        mVertx = vertx;
        mTicker = ticker;
        mProtocol = protocol;
        mState = state;
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        keepMissingAfterOutage(afterOutage);
        Set<String> listed = new HashSet<>();
        for (StoreEntry entry : listing.entries()) {
            listed.add(entry.key());
            update(entry);
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
        keepMissingAfterOutage(afterOutage);
        for (StoreChange change : changes.changes()) {
            StoreEntry entry = change.entry();
            if (entry == null) {
                remove(change.key());
            } else {
                update(entry);
            }
        }
        if (!changes.changes().isEmpty()) {
            publish();
        }
    }

    private void keepMissingAfterOutage(boolean afterOutage) {
        if (!afterOutage) {
            return;
        }
        mKeepMissing = true;
        mKeepMissingUntil =
                mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REREGISTRATION_WINDOW_MS);
        mVertx.setTimer(REREGISTRATION_WINDOW_MS + 1, t -> dropMissing());
    }

    private void dropMissing() {
        if (mTicker.nanoTime() - mKeepMissingUntil < 0) {
            return;
        }
        mKeepMissing = false;
        for (String key : mMissingKeys) {
            TargetInstance removed = removeTarget(key);
            LOG.info("step=target target={} outcome=gone-after-outage", incarnationOf(removed));
        }
        mMissingKeys.clear();
        publish();
    }

    private static String incarnationOf(@Nullable TargetInstance target) {
        return target == null ? "-" : target.incarnation();
    }

    private void update(StoreEntry entry) {
        try {
            TargetInstance target = mProtocol.decodeTarget(entry.key(), entry.value());
            TargetInstance previous = mTargets.put(entry.key(), target);
            recordWarmUp(entry, target);
            mMissingKeys.remove(entry.key());
            mUnusableRevisions.remove(entry.key());
            if (!target.equals(previous)) {
                LOG.info(
                        "step=target target={} service={} version={} address={} state={}"
                                + " store_revision={} outcome={}",
                        target.incarnation(),
                        target.service(),
                        target.version(),
                        target.address(),
                        target.state(),
                        entry.modRevision(),
                        previous == null ? "added" : "changed");
            }
        } catch (SesamepinException e) {
            TargetInstance previous = removeTarget(entry.key());
            Long reported = mUnusableRevisions.put(entry.key(), entry.modRevision());
            if (reported != null && reported == entry.modRevision()) {
                return;
            }
            LOG.warn(
                    "step=target key={} former={} store_revision={} outcome=unusable cause={}",
                    entry.key(),
                    incarnationOf(previous),
                    entry.modRevision(),
                    e.getMessage());
        }
    }

    private void remove(String key) {
        mUnusableRevisions.remove(key);
        if (!mTargets.containsKey(key)) {
            return;
        }
        if (mKeepMissing) {
            mMissingKeys.add(key);
            return;
        }
        TargetInstance removed = removeTarget(key);
        LOG.info("step=target target={} outcome=gone", incarnationOf(removed));
    }

    private @Nullable TargetInstance removeTarget(String key) {
        mRevisions.remove(key);
        mRemovedKeys.add(key);
        if (mRemovedKeys.size() > MAX_REMOVED_KEYS) {
            mRemovedKeys.remove(mRemovedKeys.iterator().next());
        }
        return mTargets.remove(key);
    }

    /**
     * Records whether the target of an entry is cold. An entry that was read before says how long
     * the target was cold from then on.
     */
    private void recordWarmUp(StoreEntry entry, TargetInstance target) {
        Long read = mRevisions.put(entry.key(), entry.modRevision());
        if (read == null || read != entry.modRevision()) {
            mWarmUps.recordEntry(target);
        }
        if (mRemovedKeys.remove(entry.key())) {
            mWarmUps.recordReturn(target);
        }
    }

    private void publish() {
        mState.setTargets(mTargets.values());
    }
}
