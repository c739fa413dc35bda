package org.sesamepin.node.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sesamepin.core.membership.CoordinatorCandidates;
import org.sesamepin.node.serving.PeerTable;

/**
 * Determines the hosts among which the rate of a customer is divided. In a large fleet these are a
 * few powerful hosts: were the rate divided among all, the share of each would be less than a
 * request, and most requests would have to borrow from many hosts. Confined to the event loop.
 */
final class RateHolders {
    /**
     * Largest number of hosts that share a customer's rate. A host that uses its share although
     * another host has replaced it exceeds the rate by the inverse of this number.
     */
    private static final int MAX_HOLDERS = 12;

    private final PeerTable mPeers;
    private final Map<String, Set<String>> mHoldersByCustomer = new HashMap<>();
    private Map<String, Double> mCoresByHost = Map.of();

    RateHolders(PeerTable peers) {
        mPeers = peers;
    }

    /** Returns the names of the hosts that share the rate of {@code customer}. */
    Set<String> holdersOf(String customer) {
        Map<String, Double> coresByHost = mPeers.coresByRateHost();
        if (!coresByHost.equals(mCoresByHost)) {
            mCoresByHost = coresByHost;
            mHoldersByCustomer.clear();
        }
        return mHoldersByCustomer.computeIfAbsent(customer, this::selectHolders);
    }

    private Set<String> selectHolders(String customer) {
        return mCoresByHost.size() <= MAX_HOLDERS
                ? mCoresByHost.keySet()
                : CoordinatorCandidates.ranked(customer, mCoresByHost, MAX_HOLDERS);
    }
}
