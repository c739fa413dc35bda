package org.sesamepin.node.serving;

import java.util.List;
import java.util.Map;
import org.sesamepin.core.membership.CoordinatorCandidates;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetRateLimits;
import org.sesamepin.core.target.TargetRequestBuckets;
import org.sesamepin.core.time.Ticker;

/**
 * This host's share of the limits that targets name, for requests that no coordinator places. A
 * limit is divided equally between a few hosts, fewer for a low limit, so that each of them can
 * send a request now and then. Confined to the event loop.
 */
final class TargetLimitShares {
    /** Hosts among which one request per second is divided. */
    private static final double HOSTS_PER_UNIT = 2;

    /**
     * Hosts among which the limit of a cold target is divided. Each of them may send one request at
     * any moment, and a coordinator that others can reach gives out the limit at the same time.
     */
    private static final int MAX_HOLDERS_OF_COLD_TARGET = 3;

    private final Ticker mTicker;
    private final PeerTable mPeers;
    private final TargetRateLimits mLimits;
    private final TargetRequestBuckets mBuckets;

    TargetLimitShares(Ticker ticker, PeerTable peers, TargetRateLimits limits) {
        mTicker = ticker;
        mPeers = peers;
        mLimits = limits;
        mBuckets = TargetRequestBuckets.ofHost(limits);
    }

    /** Returns those of {@code targets} that this host may send a request now. */
    List<TargetInstance> available(List<TargetInstance> targets) {
        long now = mTicker.nanoTime();
        return targets.stream()
                .filter(target -> mBuckets.mayStart(target.incarnation(), share(target), 0, now))
                .toList();
    }

    /** Records that this host sends a request to {@code target}. */
    void recordStart(TargetInstance target) {
        mBuckets.recordStart(target.incarnation());
    }

    private double share(TargetInstance target) {
        String incarnation = target.incarnation();
        if (!mLimits.isLimited(incarnation)) {
            return 1;
        }
        Map<String, Double> coresByHost = mPeers.coresByRateHost();
        double wanted = Math.ceil(mLimits.perS(incarnation) * HOSTS_PER_UNIT);
        if (mLimits.hasColdLimit(incarnation)) {
            wanted = Math.min(wanted, MAX_HOLDERS_OF_COLD_TARGET);
        }
        int holders = (int) Math.max(1, Math.min(coresByHost.size(), wanted));
        return CoordinatorCandidates.ranked(incarnation, coresByHost, holders)
                        .contains(mPeers.self())
                ? 1.0 / holders
                : 0;
    }
}
