package org.sesamepin.node.fleet;

import java.util.Set;
import org.sesamepin.core.membership.ShareLease;

/**
 * Tells whether this node would have learnt of a withdrawn key. It would when the store confirmed
 * the version in force lately, or when most members of the fleet answer: any of them that sees a
 * newer version passes it on, and when none sees the store, no version is rolled. A node cut off
 * from the store and from most peers refuses keyed requests.
 */
public final class KeyFreshness {
    private final BundleManager mBundles;
    private final FleetView mFleet;
    private final ShareLease mTenure;

    /** Creates the check. */
    public KeyFreshness(BundleManager bundles, FleetView fleet, ShareLease tenure) {
        mBundles = bundles;
        mFleet = fleet;
        mTenure = tenure;
    }

    /** Tells whether keys may be trusted now. */
    public boolean isFresh() {
        if (mBundles.current().version() == 0) {
            return false;
        }
        if (mBundles.isConfirmed()) {
            return true;
        }
        Set<String> members = mTenure.assignment().hosts();
        if (members.isEmpty()) {
            return false;
        }
        long reachable = members.stream().filter(h -> mFleet.isSelf(h) || mFleet.isLive(h)).count();
        return reachable * 2 > members.size();
    }
}
