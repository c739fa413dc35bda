package org.sesamepin.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.limit.BlockCache;
import org.sesamepin.core.limit.BlockPolicy;
import org.sesamepin.core.limit.CustomerLimit;
import org.sesamepin.core.limit.DelegatedShares;
import org.sesamepin.core.limit.ShareDelegator;
import org.sesamepin.core.membership.Assignment;
import org.sesamepin.core.membership.FleetTiming;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.membership.ShareLease;

/** One process of a simulated host: runs the production classes on simulated messages. */
final class SimulatedHost {
    private static final long PEER_TIMEOUT_NANOS = 900_000_000L;

    /** State of a host as sent in a heartbeat and in the reply to one. */
    record StateMessage(
            String host,
            long epoch,
            long releasedEpoch,
            boolean settled,
            boolean confirmed,
            ShareDelegator.Reply delegation,
            Assignment assignment) {}

    private final String mName;
    private final SimulatedClock mClock;
    private final ShareLease mLease;
    private final ShareDelegator mDelegator;
    private final DelegatedShares mDelegatedShares;
    private final Map<String, CustomerLimit> mLimits = new HashMap<>();
    private final Map<String, Long> mLastContactAt = new HashMap<>();
    private final boolean mDelegates;
    private List<String> mView;
    private int mPollsWithDifference;

    SimulatedHost(
            String name,
            SimulatedClock clock,
            FleetTiming timing,
            BlockPolicy policy,
            boolean delegates,
            List<Customer> customers,
            AtomicLong blockIds) {
        mName = name;
        mClock = clock;
        mDelegates = delegates;
        mLease = new ShareLease(name, timing, clock);
        mDelegator = new ShareDelegator(mLease, timing, clock);
        mDelegatedShares = new DelegatedShares(name);
        mView = List.of(name);
        for (Customer customer : customers) {
            mLimits.put(
                    customer.name(),
                    new CustomerLimit(
                            customer.name(),
                            timing,
                            policy,
                            mDelegatedShares,
                            mDelegator,
                            blockIds,
                            clock.nanoTime()));
        }
    }

    String name() {
        return mName;
    }

    List<String> view() {
        return mView;
    }

    Assignment assignment() {
        return mLease.assignment();
    }

    long now() {
        return mClock.nanoTime();
    }

    String coordinator(String customer) {
        String owner = Rendezvous.owner(customer, mView);
        return owner == null ? mName : owner;
    }

    /** Updates view, shares and buckets before a round of heartbeats. */
    void startHeartbeatRound(List<Customer> customers) {
        refreshView();
        long now = now();
        if (mDelegates) {
            mDelegatedShares.recordReply(mName, now, mView, mDelegator.delegate(mName, mView), now);
        }
        customers.forEach(c -> limit(c).refill(c, now));
    }

    private void refreshView() {
        TreeSet<String> liveHosts = new TreeSet<>();
        liveHosts.add(mName);
        mLastContactAt.forEach(
                (host, contactAt) -> {
                    if (now() - contactAt < PEER_TIMEOUT_NANOS) {
                        liveHosts.add(host);
                    }
                });
        mView = new ArrayList<>(liveHosts);
        mDelegator.setView(mView);
    }

    StateMessage stateMessage(ShareDelegator.Reply delegation, boolean confirmed) {
        return new StateMessage(
                mName,
                mLease.assignment().epoch(),
                mLease.releasedEpoch(),
                mLease.isSettled(),
                confirmed,
                delegation,
                mLease.assignment());
    }

    /** Handles a heartbeat from a peer and returns the reply. */
    StateMessage handleHeartbeat(StateMessage sender, List<String> senderView) {
        recordPeerState(sender);
        refreshView();
        ShareDelegator.Reply delegation =
                mDelegates
                        ? mDelegator.delegate(sender.host(), senderView)
                        : ShareDelegator.Reply.NOT_DELEGATED;
        return stateMessage(delegation, mLease.confirmsEpoch(sender.epoch()));
    }

    /** Handles the reply to a heartbeat sent at {@code requestedAt} under {@code view}. */
    void handleReply(StateMessage reply, List<String> view, long requestedAt) {
        recordPeerState(reply);
        if (reply.confirmed()) {
            mLease.recordPeerConfirmation(reply.host(), reply.epoch(), requestedAt);
        }
        mDelegatedShares.recordReply(reply.host(), requestedAt, view, reply.delegation(), now());
    }

    private void recordPeerState(StateMessage sender) {
        mLastContactAt.put(sender.host(), now());
        mLease.recordRelease(
                sender.host(),
                sender.releasedEpoch(),
                sender.settled() && sender.epoch() == sender.releasedEpoch());
        mLease.adopt(sender.assignment());
    }

    /** Handles a read of the store; returns the next assignment to write, or null for none. */
    @Nullable Assignment handleStoreRead(
            Assignment assignment, TreeMap<String, Integer> liveHosts, long requestedAt) {
        mLease.adopt(assignment);
        mLease.recordStoreConfirmation(requestedAt, assignment.epoch());
        Assignment current = mLease.assignment();
        for (String member : current.hosts()) {
            if (mView.contains(member)) {
                liveHosts.putIfAbsent(member, 1);
            }
        }
        boolean mayChange = current.epoch() == 0 || mLease.isSettled();
        if (current.epoch() != assignment.epoch()
                || liveHosts.equals(current.members())
                || liveHosts.isEmpty()
                || !mayChange) {
            mPollsWithDifference = 0;
            return null;
        }
        mPollsWithDifference++;
        boolean isFirst = liveHosts.firstKey().equals(mName);
        return isFirst || mPollsWithDifference > 2 ? current.nextEpoch(liveHosts) : null;
    }

    CustomerLimit limit(Customer customer) {
        CustomerLimit limit = mLimits.get(customer.name());
        if (limit == null) {
            throw new IllegalArgumentException(customer.name());
        }
        return limit;
    }

    boolean isReadyToCoordinate(Customer customer) {
        return mDelegatedShares.fractionHeldThroughout(customer.name(), now(), now()) >= 0.5;
    }

    List<BlockCache.ReturnedBlock> closeBlocks(Customer customer) {
        return limit(customer).closeBlocks(now());
    }
}
