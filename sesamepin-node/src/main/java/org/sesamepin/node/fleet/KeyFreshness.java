package org.sesamepin.node.fleet;

import java.util.Set;
import org.sesamepin.core.membership.ShareLease;

/**
 * Checks whether this node would know by now if an API key had been withdrawn. It would if the
 * store confirmed the active bundle version recently, or if a majority of the fleet's members is
 * live: any of them that reads a newer version from the store sends it to the others, and while
 * none of them can reach the store, no version can be rolled out. A node that can reach neither the
 * store nor a majority of its peers rejects requests that carry a key.
 */
public final class KeyFreshness {
    private final BundleManager mBundles;
    private final FleetView mFleet;
    private final ShareLease mShareLease;

    /** Creates a check on the given bundles, live hosts and members of the fleet. */
    public KeyFreshness(BundleManager bundles, FleetView fleet, ShareLease shareLease) {
        mBundles = bundles;
        mFleet = fleet;
        mShareLease = shareLease;
    }

    /** Returns whether the keys of the active bundle can be relied on now. */
    public boolean isFresh() {
        if (mBundles.current().version() == 0) {
            return false;
        }
        if (mBundles.isConfirmed()) {
            return true;
        }
        Set<String> members = mShareLease.assignment().hosts();
        if (members.isEmpty()) {
            return false;
        }
        long liveCount =
                members.stream().filter(host -> mFleet.isSelf(host) || mFleet.isLive(host)).count();
        return liveCount * 2 > members.size();
    }
}
