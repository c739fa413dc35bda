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
import org.sesamepin.core.limit.Delegations;
import org.sesamepin.core.limit.Delegator;
import org.sesamepin.core.membership.Assignment;
import org.sesamepin.core.membership.FleetTiming;
import org.sesamepin.core.membership.Rendezvous;
import org.sesamepin.core.membership.Tenure;

/** One process of a host: the real decision classes, driven by the simulation's messages. */
final class SimulatedHost {
    private static final long PEER_TIMEOUT_NANOS = 900_000_000L;

    /** What a heartbeat's reply carries. */
    record StateMessage(
            String host,
            long epoch,
            long releasedEpoch,
            boolean settled,
            boolean confirmed,
            Delegator.Answer delegation,
            Assignment assignment) {}

    private final String mName;
    private final SimulatedClock mClock;
    private final Tenure mLease;
    private final Delegator mDelegator;
    private final Delegations mDelegations;
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
        mLease = new Tenure(name, timing, clock);
        mDelegator = new Delegator(mLease, timing, clock);
        mDelegations = new Delegations(name);
        mView = List.of(name);
        for (Customer customer : customers) {
            mLimits.put(
                    customer.name(),
                    new CustomerLimit(
                            customer.name(),
                            timing,
                            policy,
                            mDelegations,
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

    /** Starts a round of heartbeats. */
    void startHeartbeatRound(List<Customer> customers) {
        refreshView();
        long now = now();
        if (mDelegates) {
            mDelegations.received(mName, now, mView, mDelegator.delegate(mName, mView), now);
        }
        customers.forEach(c -> limit(c).refresh(c, now));
    }

    private void refreshView() {
        TreeSet<String> live = new TreeSet<>();
        live.add(mName);
        mLastContactAt.forEach(
                (host, at) -> {
                    if (now() - at < PEER_TIMEOUT_NANOS) {
                        live.add(host);
                    }
                });
        mView = new ArrayList<>(live);
        mDelegator.setView(mView);
    }

    StateMessage stateMessage(Delegator.Answer answer, boolean consent) {
        return new StateMessage(
                mName,
                mLease.assignment().epoch(),
                mLease.releasedEpoch(),
                mLease.isSettled(),
                consent,
                answer,
                mLease.assignment());
    }

    /** Answers a heartbeat. */
    StateMessage handleHeartbeat(StateMessage sender, List<String> senderView) {
        recordPeerState(sender);
        refreshView();
        Delegator.Answer answer =
                mDelegates
                        ? mDelegator.delegate(sender.host(), senderView)
                        : Delegator.Answer.REFUSED;
        return stateMessage(answer, mLease.consent(sender.epoch()));
    }

    /** Takes up the reply to a heartbeat that was sent at {@code askedAt} under {@code view}. */
    void handleReply(StateMessage reply, List<String> view, long askedAt) {
        recordPeerState(reply);
        if (reply.confirmed()) {
            mLease.consentReceived(reply.host(), reply.epoch(), askedAt);
        }
        mDelegations.received(reply.host(), askedAt, view, reply.delegation(), now());
    }

    private void recordPeerState(StateMessage sender) {
        mLastContactAt.put(sender.host(), now());
        mLease.released(
                sender.host(),
                sender.releasedEpoch(),
                sender.settled() && sender.epoch() == sender.releasedEpoch());
        mLease.adopt(sender.assignment());
    }

    /** Takes up a read of the store; returns the assignment to write, or null. */
    @Nullable Assignment handleStoreRead(
            Assignment assignment, TreeMap<String, Integer> live, long askedAt) {
        mLease.adopt(assignment);
        mLease.storeConfirmed(askedAt, assignment.epoch());
        Assignment current = mLease.assignment();
        for (String member : current.hosts()) {
            if (mView.contains(member)) {
                live.putIfAbsent(member, 1);
            }
        }
        boolean may = current.epoch() == 0 || mLease.isSettled();
        if (current.epoch() != assignment.epoch()
                || live.equals(current.members())
                || live.isEmpty()
                || !may) {
            mPollsWithDifference = 0;
            return null;
        }
        mPollsWithDifference++;
        boolean first = live.firstKey().equals(mName);
        return first || mPollsWithDifference > 2 ? current.next(live) : null;
    }

    CustomerLimit limit(Customer customer) {
        CustomerLimit limit = mLimits.get(customer.name());
        if (limit == null) {
            throw new IllegalArgumentException(customer.name());
        }
        return limit;
    }

    boolean isReadyToCoordinate(Customer customer) {
        return mDelegations.heldThroughout(customer.name(), now(), now()) >= 0.5;
    }

    List<BlockCache.Closed> closeBlocks(Customer customer) {
        return limit(customer).closedBlocks(now());
    }
}
