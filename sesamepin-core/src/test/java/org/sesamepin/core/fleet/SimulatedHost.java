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

/** One process of a host: the real decision classes, driven by the simulation's messages. */
final class SimulatedHost {
    private static final long SILENCE = 900_000_000L;

    /** What a heartbeat's reply carries. */
    record Reply(
            String host,
            long epoch,
            long releasedEpoch,
            boolean settled,
            boolean consent,
            ShareDelegator.Reply answer,
            Assignment assignment) {}

    private final String mName;
    private final SimulatedClock mClock;
    private final ShareLease mTenure;
    private final ShareDelegator mDelegator;
    private final DelegatedShares mDelegatedShares;
    private final Map<String, CustomerLimit> mLimits = new HashMap<>();
    private final Map<String, Long> mHeard = new HashMap<>();
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
        mTenure = new ShareLease(name, timing, clock);
        mDelegator = new ShareDelegator(mTenure, timing, clock);
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
        return mTenure.assignment();
    }

    long now() {
        return mClock.nanoTime();
    }

    String coordinator(String customer) {
        String owner = Rendezvous.owner(customer, mView);
        return owner == null ? mName : owner;
    }

    /** Starts a round of heartbeats. */
    void beat(List<Customer> customers) {
        refreshView();
        long now = now();
        if (mDelegates) {
            mDelegatedShares.recordReply(mName, now, mView, mDelegator.delegate(mName, mView), now);
        }
        customers.forEach(c -> limit(c).refill(c, now));
    }

    private void refreshView() {
        TreeSet<String> live = new TreeSet<>();
        live.add(mName);
        mHeard.forEach(
                (host, at) -> {
                    if (now() - at < SILENCE) {
                        live.add(host);
                    }
                });
        mView = new ArrayList<>(live);
        mDelegator.setView(mView);
    }

    Reply describe(ShareDelegator.Reply answer, boolean consent) {
        return new Reply(
                mName,
                mTenure.assignment().epoch(),
                mTenure.releasedEpoch(),
                mTenure.isSettled(),
                consent,
                answer,
                mTenure.assignment());
    }

    /** Answers a heartbeat. */
    Reply answer(Reply sender, List<String> senderView) {
        note(sender);
        refreshView();
        ShareDelegator.Reply answer =
                mDelegates
                        ? mDelegator.delegate(sender.host(), senderView)
                        : ShareDelegator.Reply.NOT_DELEGATED;
        return describe(answer, mTenure.confirmsEpoch(sender.epoch()));
    }

    /** Takes up the reply to a heartbeat that was sent at {@code askedAt} under {@code view}. */
    void replied(Reply reply, List<String> view, long askedAt) {
        note(reply);
        if (reply.consent()) {
            mTenure.recordPeerConfirmation(reply.host(), reply.epoch(), askedAt);
        }
        mDelegatedShares.recordReply(reply.host(), askedAt, view, reply.answer(), now());
    }

    private void note(Reply sender) {
        mHeard.put(sender.host(), now());
        mTenure.recordRelease(
                sender.host(),
                sender.releasedEpoch(),
                sender.settled() && sender.epoch() == sender.releasedEpoch());
        mTenure.adopt(sender.assignment());
    }

    /** Takes up a read of the store; returns the assignment to write, or null. */
    @Nullable Assignment polled(
            Assignment assignment, TreeMap<String, Integer> live, long askedAt) {
        mTenure.adopt(assignment);
        mTenure.recordStoreConfirmation(askedAt, assignment.epoch());
        Assignment current = mTenure.assignment();
        for (String member : current.hosts()) {
            if (mView.contains(member)) {
                live.putIfAbsent(member, 1);
            }
        }
        boolean may = current.epoch() == 0 || mTenure.isSettled();
        if (current.epoch() != assignment.epoch()
                || live.equals(current.members())
                || live.isEmpty()
                || !may) {
            mPollsWithDifference = 0;
            return null;
        }
        mPollsWithDifference++;
        boolean first = live.firstKey().equals(mName);
        return first || mPollsWithDifference > 2 ? current.nextEpoch(live) : null;
    }

    CustomerLimit limit(Customer customer) {
        CustomerLimit limit = mLimits.get(customer.name());
        if (limit == null) {
            throw new IllegalArgumentException(customer.name());
        }
        return limit;
    }

    boolean isReady(Customer customer) {
        return mDelegatedShares.fractionHeldThroughout(customer.name(), now(), now()) >= 0.5;
    }

    List<BlockCache.ReturnedBlock> closedBlocks(Customer customer) {
        return limit(customer).closeBlocks(now());
    }
}
