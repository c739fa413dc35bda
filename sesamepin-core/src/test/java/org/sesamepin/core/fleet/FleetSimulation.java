package org.sesamepin.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.limit.BlockCache;
import org.sesamepin.core.limit.BlockPolicy;
import org.sesamepin.core.limit.CustomerLimit;
import org.sesamepin.core.membership.Assignment;
import org.sesamepin.core.membership.FleetTiming;

/**
 * Simulates a fleet in virtual time, with the production code for membership and rate limits on
 * each host. Messages are delayed, lost and duplicated, hosts pause, crash and restart, and the
 * store fails. A run is determined by its seed.
 */
final class FleetSimulation {
    private static final long MS = 1_000_000L;
    private static final long HEARTBEAT_INTERVAL_NANOS = 250 * MS;
    private static final long BLOCK_RETURN_INTERVAL_NANOS = 50 * MS;
    private static final long STORE_POLL_INTERVAL_NANOS = 1_000 * MS;
    private static final long LEASE_TTL_NANOS = 5_000 * MS;

    /** How tokens are shared between the hosts. */
    enum Mode {
        STATIC_SHARE,
        PER_REQUEST,
        FIXED_BLOCK,
        ADAPTIVE_BLOCK;

        BlockPolicy policy() {
            return this == STATIC_SHARE ? BlockPolicy.PER_REQUEST : BlockPolicy.valueOf(name());
        }
    }

    private record Event(
            long time, long sequence, String host, long incarnation, Runnable action) {}

    private final Random mRandom;
    private final Mode mMode;
    private final List<Customer> mCustomers;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
    private final Map<String, SimulatedHost> mHosts = new TreeMap<>();
    private final Map<String, Long> mIncarnations = new HashMap<>();
    private final Map<String, Long> mPausedUntil = new HashMap<>();
    private final Set<String> mPartitionedFromPeers = new HashSet<>();
    private final Set<String> mPartitionedFromStore = new HashSet<>();
    private final SimulatedStore mStore = new SimulatedStore();
    private final RateInvariant mInvariant = new RateInvariant();
    private final RateInvariant mIdealInvariant = new RateInvariant();
    private final Map<String, double[]> mIdealBuckets = new HashMap<>();
    private final AtomicLong mBlockIds = new AtomicLong();
    private double mLoss = 0.005;
    private long mNow;
    private long mNextSequence;
    private long mOffered;
    private long mAdmitted;
    private long mIdealAdmitted;
    private long mRejectedWithinRate;
    private long mMessages;
    private boolean mInvariantBroken;
    private boolean mMeasuring;

    FleetSimulation(long seed, Mode mode, int hosts, List<Customer> customers) {
        mRandom = new Random(seed);
        mMode = mode;
        mCustomers = customers;
        for (int i = 0; i < hosts; i++) {
            startHost("host-" + i);
        }
    }

    List<String> hostNames() {
        return new ArrayList<>(mIncarnations.keySet()).stream().sorted().toList();
    }

    Random random() {
        return mRandom;
    }

    long now() {
        return mNow;
    }

    boolean isInvariantBroken() {
        return mInvariantBroken;
    }

    double lowestLevel() {
        return mInvariant.lowestLevel();
    }

    long offered() {
        return mOffered;
    }

    long admitted() {
        return mAdmitted;
    }

    long idealAdmitted() {
        return mIdealAdmitted;
    }

    /** Returns how many requests were rejected that one bucket shared by all hosts would admit. */
    long rejectedWithinRate() {
        return mRejectedWithinRate;
    }

    long messages() {
        return mMessages;
    }

    void startMeasuring() {
        mMeasuring = true;
        mMessages = 0;
    }

    /** Schedules {@code action} at the virtual time {@code time}. */
    void schedule(long time, Runnable action) {
        mEvents.add(new Event(time, mNextSequence++, "", 0, action));
    }

    private void scheduleOnHost(long time, String host, Runnable action) {
        long incarnation = mIncarnations.getOrDefault(host, 0L);
        mEvents.add(new Event(time, mNextSequence++, host, incarnation, action));
    }

    /** Runs all events up to the virtual time {@code time}, in nanoseconds. */
    void runUntil(long time) {
        while (!mEvents.isEmpty() && mEvents.element().time() <= time) {
            Event event = mEvents.remove();
            mNow = event.time();
            run(event);
        }
        mNow = time;
    }

    private void run(Event event) {
        if (event.host().isEmpty()) {
            event.action().run();
            return;
        }
        boolean alive =
                mHosts.containsKey(event.host())
                        && mIncarnations.getOrDefault(event.host(), 0L) == event.incarnation();
        if (!alive) {
            return;
        }
        long pausedUntil = mPausedUntil.getOrDefault(event.host(), 0L);
        if (pausedUntil > mNow) {
            scheduleOnHost(pausedUntil + mNextSequence % 1_000, event.host(), event.action());
            return;
        }
        event.action().run();
    }

    /** Starts or restarts the process of a host. */
    void startHost(String name) {
        mIncarnations.merge(name, 1L, Long::sum);
        long offset = mRandom.nextInt(1_000_000) * MS;
        double rate = 1 + (mRandom.nextDouble() - 0.5) * 0.0008;
        SimulatedClock clock = new SimulatedClock(() -> mNow, offset, rate);
        mHosts.put(
                name,
                new SimulatedHost(
                        name,
                        clock,
                        FleetTiming.STANDARD,
                        mMode.policy(),
                        mMode != Mode.STATIC_SHARE,
                        mCustomers,
                        mBlockIds));
        scheduleOnHost(mNow + mRandom.nextInt(250) * MS, name, () -> sendHeartbeats(name));
        scheduleOnHost(mNow + mRandom.nextInt(1000) * MS, name, () -> pollStore(name));
        scheduleOnHost(mNow + mRandom.nextInt(50) * MS, name, () -> returnBlocksPeriodically(name));
    }

    /** Ends the process of a host abruptly, without a message to anyone. */
    void kill(String name) {
        mHosts.remove(name);
    }

    void pause(String name, long nanos) {
        mPausedUntil.put(name, mNow + nanos);
    }

    void setStoreDown(boolean down) {
        mStore.setDown(down, mNow, LEASE_TTL_NANOS);
    }

    void setPeerPartition(String name, boolean partitioned) {
        if (partitioned) {
            mPartitionedFromPeers.add(name);
        } else {
            mPartitionedFromPeers.remove(name);
        }
    }

    void setStorePartition(String name, boolean partitioned) {
        if (partitioned) {
            mPartitionedFromStore.add(name);
        } else {
            mPartitionedFromStore.remove(name);
        }
    }

    void setLoss(double loss) {
        mLoss = loss;
    }

    void expireAllLeases() {
        mHosts.keySet().forEach(mStore::revokeLease);
    }

    private SimulatedHost host(String name) {
        SimulatedHost host = mHosts.get(name);
        if (host == null) {
            throw new IllegalStateException(name);
        }
        return host;
    }

    private long randomDelay() {
        boolean delayed = mLoss > 0 && mRandom.nextInt(400) == 0;
        return (delayed ? mRandom.nextInt(3_000) : 1 + mRandom.nextInt(3)) * MS;
    }

    /** Sends a message, which may be delayed, lost or duplicated. */
    private void send(String from, String to, Runnable delivery) {
        mMessages++;
        boolean partitioned =
                mPartitionedFromPeers.contains(from) || mPartitionedFromPeers.contains(to);
        if (partitioned || mRandom.nextDouble() < mLoss) {
            return;
        }
        scheduleOnHost(mNow + randomDelay(), to, delivery);
        if (mRandom.nextInt(200) == 0) {
            scheduleOnHost(mNow + randomDelay(), to, delivery);
        }
    }

    private void sendHeartbeats(String name) {
        SimulatedHost host = host(name);
        host.startHeartbeatRound(mCustomers);
        List<String> view = host.view();
        SimulatedHost.StateMessage heartbeat =
                host.stateMessage(
                        org.sesamepin.core.limit.ShareDelegator.Reply.NOT_DELEGATED, false);
        for (String peer : hostNames()) {
            if (!peer.equals(name)) {
                long requestedAt = host.now();
                send(name, peer, () -> handleHeartbeat(peer, name, heartbeat, view, requestedAt));
            }
        }
        scheduleOnHost(mNow + HEARTBEAT_INTERVAL_NANOS, name, () -> sendHeartbeats(name));
    }

    private void handleHeartbeat(
            String peer,
            String from,
            SimulatedHost.StateMessage heartbeat,
            List<String> view,
            long requestedAt) {
        SimulatedHost.StateMessage reply = host(peer).handleHeartbeat(heartbeat, view);
        send(peer, from, () -> host(from).handleReply(reply, view, requestedAt));
    }

    private void returnBlocksPeriodically(String name) {
        sendClosedBlocks(host(name));
        scheduleOnHost(
                mNow + BLOCK_RETURN_INTERVAL_NANOS, name, () -> returnBlocksPeriodically(name));
    }

    private void sendClosedBlocks(SimulatedHost host) {
        for (Customer customer : mCustomers) {
            for (BlockCache.ReturnedBlock block : host.closeBlocks(customer)) {
                String to = block.coordinator();
                send(host.name(), to, () -> acceptReturnedBlocks(to, customer, List.of(block)));
            }
        }
    }

    private void acceptReturnedBlocks(
            String name, Customer customer, List<BlockCache.ReturnedBlock> closedBlocks) {
        SimulatedHost host = host(name);
        for (BlockCache.ReturnedBlock block : closedBlocks) {
            if (block.coordinator().equals(name)) {
                host.limit(customer)
                        .acceptReturnedBlock(customer, block.blockId(), block.unused(), host.now());
            }
        }
    }

    private void pollStore(String name) {
        scheduleOnHost(mNow + STORE_POLL_INTERVAL_NANOS, name, () -> pollStore(name));
        if (mStore.isDown() || mPartitionedFromStore.contains(name)) {
            return;
        }
        long requestedAt = host(name).now();
        schedule(mNow + randomDelay(), () -> readStore(name, requestedAt));
    }

    private void readStore(String name, long requestedAt) {
        if (mStore.isDown() || !mHosts.containsKey(name)) {
            return;
        }
        mStore.renewLease(name, mNow + LEASE_TTL_NANOS);
        Assignment assignment = mStore.assignment();
        TreeMap<String, Integer> liveHosts = mStore.liveHosts(mNow);
        scheduleOnHost(
                mNow + randomDelay(),
                name,
                () -> {
                    Assignment next =
                            host(name).handleStoreRead(assignment, liveHosts, requestedAt);
                    if (next != null) {
                        schedule(
                                mNow + randomDelay(),
                                () -> writeStore(name, assignment.epoch(), next));
                    }
                });
    }

    private void writeStore(String name, long expectedEpoch, Assignment next) {
        if (!mStore.isDown() && !mPartitionedFromStore.contains(name)) {
            mStore.compareAndSet(expectedEpoch, next);
        }
    }

    /** Lets a host receive a request of a customer, unless the host is down or paused. */
    void request(String name, Customer customer) {
        if (!mHosts.containsKey(name) || mPausedUntil.getOrDefault(name, 0L) > mNow) {
            return;
        }
        boolean idealAdmits = admittedByIdealBucket(customer);
        if (mMeasuring) {
            mOffered++;
            mIdealAdmitted += idealAdmits ? 1 : 0;
        }
        SimulatedHost host = host(name);
        CustomerLimit limit = host.limit(customer);
        limit.countDemand(1, host.now());
        String coordinator = host.coordinator(customer.name());
        if (coordinator.equals(name)) {
            recordDecision(customer, idealAdmits, takeLocally(host, customer));
        } else if (limit.spendFromBlock(1, host.now())) {
            recordDecision(customer, idealAdmits, true);
        } else {
            requestTokens(host, customer, coordinator, idealAdmits);
        }
    }

    private boolean takeLocally(SimulatedHost host, Customer customer) {
        CustomerLimit limit = host.limit(customer);
        return limit.takeAsCoordinator(customer, 1, host.now())
                || (!host.isReadyToCoordinate(customer)
                        && limit.takeFromOwnShare(customer, 1, host.now()));
    }

    private void requestTokens(
            SimulatedHost host, Customer customer, String coordinator, boolean idealAdmits) {
        if (mMode == Mode.STATIC_SHARE) {
            recordDecision(
                    customer,
                    idealAdmits,
                    host.limit(customer).takeFromOwnShare(customer, 1, host.now()));
            return;
        }
        String name = host.name();
        long requestedAt = host.now();
        double wantedTokens = host.limit(customer).tokensToRequest(customer, 1, requestedAt);
        List<BlockCache.ReturnedBlock> closedBlocks = host.closeBlocks(customer);
        boolean[] replied = {false};
        send(
                name,
                coordinator,
                () -> {
                    acceptReturnedBlocks(coordinator, customer, closedBlocks);
                    CustomerLimit.@Nullable BlockGrant grant =
                            grant(host(coordinator), customer, wantedTokens);
                    send(
                            coordinator,
                            name,
                            () -> {
                                // Replies are matched to calls by id, so a duplicate is dropped.
                                if (!replied[0]) {
                                    replied[0] = true;
                                    addGrantedBlock(
                                            host(name), customer, coordinator, grant, requestedAt);
                                    decideAfterReply(host(name), customer, idealAdmits, grant);
                                }
                            });
                });
        scheduleOnHost(
                mNow + 300 * MS,
                name,
                () -> {
                    if (!replied[0]) {
                        replied[0] = true;
                        decideAfterReply(host(name), customer, idealAdmits, null);
                    }
                });
    }

    private CustomerLimit.@Nullable BlockGrant grant(
            SimulatedHost coordinator, Customer customer, double wantedTokens) {
        boolean owner = coordinator.coordinator(customer.name()).equals(coordinator.name());
        if (!owner || !coordinator.isReadyToCoordinate(customer)) {
            return null;
        }
        return coordinator.limit(customer).grantBlock(customer, wantedTokens, 1, coordinator.now());
    }

    private static void addGrantedBlock(
            SimulatedHost host,
            Customer customer,
            String coordinator,
            CustomerLimit.@Nullable BlockGrant grant,
            long requestedAt) {
        if (grant != null && grant.tokens() > 0) {
            host.limit(customer).addBlock(grant, coordinator, requestedAt);
        }
    }

    private void decideAfterReply(
            SimulatedHost host,
            Customer customer,
            boolean idealAdmits,
            CustomerLimit.@Nullable BlockGrant grant) {
        boolean admitted = host.limit(customer).spendFromBlock(1, host.now());
        if (!admitted && grant == null) {
            admitted = host.limit(customer).takeFromOwnShare(customer, 1, host.now());
        }
        recordDecision(customer, idealAdmits, admitted);
    }

    private void recordDecision(Customer customer, boolean idealAdmits, boolean admitted) {
        if (admitted) {
            mInvariantBroken |= !mInvariant.recordAdmission(customer, 1, mNow);
        }
        if (mMeasuring) {
            mAdmitted += admitted ? 1 : 0;
            mRejectedWithinRate += idealAdmits && !admitted ? 1 : 0;
        }
    }

    /** Returns whether one bucket shared by all hosts would admit the request. */
    private boolean admittedByIdealBucket(Customer customer) {
        double[] bucket =
                mIdealBuckets.computeIfAbsent(
                        customer.name(), n -> new double[] {customer.burst(), mNow});
        double refill = customer.rate() * (mNow - bucket[1]) / 1e9;
        bucket[0] = Math.min(customer.burst(), bucket[0] + refill);
        bucket[1] = mNow;
        if (bucket[0] < 1) {
            return false;
        }
        bucket[0] -= 1;
        return mIdealInvariant.recordAdmission(customer, 1, mNow);
    }
}
