package org.sesamepin.node.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.membership.Assignment;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads what the fleet shares from the store once a second, keeps this host's record under a lease,
 * and changes the members when the leases differ from them. A poll costs the store one read, as a
 * waiting watch would, and cannot go silent unnoticed.
 */
public final class StorePoller implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StorePoller.class);
    private static final long POLL_MS = 1_000;
    private static final long KEEP_ALIVE_MS = 1_500;
    private static final long LEASE_SECONDS = 5;
    private static final int POLLS_BEFORE_ANOTHER_WRITES = 3;

    private final Vertx mVertx;
    private final PlatformStore mStore;
    private final Ticker mTicker;
    private final ShareLease mTenure;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final Function<Boolean, HostRecord> mRecord;
    private final AtomicBoolean mPolling = new AtomicBoolean();
    private long mPollTimer;
    private long mLeaseTimer;
    private volatile long mLease;
    private volatile String mWritten = "";
    private int mPollsWithDifference;
    private volatile boolean mClosed;
    private volatile boolean mReachable;

    /**
     * Creates a poller.
     *
     * @param record makes this host's record; its argument tells whether the host is leaving
     */
    public StorePoller(
            Vertx vertx,
            PlatformStore store,
            Ticker ticker,
            ShareLease tenure,
            FleetView fleet,
            BundleManager bundles,
            Function<Boolean, HostRecord> record) {
        mVertx = vertx;
        mStore = store;
        mTicker = ticker;
        mTenure = tenure;
        mFleet = fleet;
        mBundles = bundles;
        mRecord = record;
    }

    /** Starts polling; the first poll runs at once. */
    public void start() {
        mPollTimer = mVertx.setPeriodic(0, POLL_MS, t -> poll());
        mLeaseTimer = mVertx.setPeriodic(0, KEEP_ALIVE_MS, t -> keepLease());
        mBundles.onChange(b -> mVertx.runOnContext(v -> writeRecord()));
    }

    public boolean isStoreReachable() {
        return mReachable;
    }

    private void poll() {
        if (mClosed || !mPolling.compareAndSet(false, true)) {
            return;
        }
        long sentAt = mTicker.nanoTime();
        List<StoreRead> reads =
                List.of(
                        StoreRead.of(StoreKeys.BUNDLE_HEAD),
                        StoreRead.of(StoreKeys.ASSIGNMENT),
                        StoreRead.ofPrefix(StoreKeys.HOSTS_PREFIX));
        mStore.read(reads)
                .compose(result -> polled(result, sentAt))
                .onComplete(
                        done -> {
                            mPolling.set(false);
                            noteReachable(done.succeeded());
                        });
    }

    private void noteReachable(boolean reachable) {
        if (reachable != mReachable) {
            LOG.info("step=store-read store-reachable={}", reachable);
        }
        mReachable = reachable;
    }

    private Future<Void> polled(StoreResult result, long sentAt) {
        List<HostRecord> hosts = hosts(result);
        mFleet.setAddresses(
                hosts.stream()
                        .filter(h -> !mFleet.isSelf(h.host()))
                        .map(HostRecord::peerAddress)
                        .toList());
        StoreEntry assignment = result.entry(StoreKeys.ASSIGNMENT);
        adopt(assignment, sentAt);
        considerMembers(assignment, hosts);
        if (mLease != 0 && result.entry(StoreKeys.hostRecord(mFleet.self())) == null) {
            mWritten = "";
            writeRecord();
        }
        StoreEntry head = result.entry(StoreKeys.BUNDLE_HEAD);
        if (head == null) {
            return Future.succeededFuture();
        }
        return mBundles.headSeen(BundleHead.fromJson(head.text()), sentAt);
    }

    private static List<HostRecord> hosts(StoreResult result) {
        List<HostRecord> hosts = new ArrayList<>();
        for (StoreEntry entry : result.entries()) {
            if (entry.key().startsWith(StoreKeys.HOSTS_PREFIX)) {
                hosts.add(HostRecord.fromJson(entry.text()));
            }
        }
        return hosts;
    }

    private void adopt(@Nullable StoreEntry entry, long sentAt) {
        if (entry == null) {
            return;
        }
        try {
            Assignment assignment = Assignment.fromJson(entry.text());
            if (mTenure.adopt(assignment)) {
                LOG.info(
                        "step=store-read epoch={} members={}",
                        assignment.epoch(),
                        assignment.members().keySet());
            }
            mTenure.recordStoreConfirmation(sentAt, assignment.epoch());
        } catch (SesamepinException e) {
            LOG.error("step=store-read message=\"{}\"", e.getMessage());
        }
    }

    /** Changes the members when the hosts with a lease differ from them. */
    private void considerMembers(@Nullable StoreEntry entry, List<HostRecord> hosts) {
        TreeMap<String, Integer> live = new TreeMap<>();
        hosts.stream().filter(h -> !h.leaving()).forEach(h -> live.put(h.host(), h.weight()));
        Assignment current = mTenure.assignment();
        keepHeardMembers(current, hosts, live);
        boolean same = live.equals(current.members());
        boolean maySettle = current.epoch() == 0 ? entry == null : mTenure.isSettled();
        if (same || live.isEmpty() || !maySettle) {
            mPollsWithDifference = 0;
            return;
        }
        mPollsWithDifference++;
        boolean first = live.firstKey().equals(mFleet.self());
        if (!first && mPollsWithDifference < POLLS_BEFORE_ANOTHER_WRITES) {
            return;
        }
        Assignment next = current.nextEpoch(live);
        long revision = entry == null ? 0 : entry.modRevision();
        StoreTransaction change =
                new StoreTransaction()
                        .ifUnchanged(StoreKeys.ASSIGNMENT, revision)
                        .put(StoreKeys.ASSIGNMENT, next.toJson());
        mStore.commit(change)
                .onSuccess(
                        r ->
                                LOG.info(
                                        "step=store-write epoch={} members={} committed={}",
                                        next.epoch(),
                                        live.keySet(),
                                        r.committed()))
                .onFailure(e -> LOG.warn("step=store-write message=\"{}\"", e.getMessage()));
    }

    /**
     * Keeps members whose leases ended while their heartbeats arrive: after an outage all leases
     * may have ended, and the shares of hosts that are there need not move.
     */
    private void keepHeardMembers(
            Assignment current, List<HostRecord> hosts, TreeMap<String, Integer> live) {
        for (Map.Entry<String, Integer> member : current.members().entrySet()) {
            String host = member.getKey();
            boolean leaving = hosts.stream().anyMatch(h -> h.host().equals(host) && h.leaving());
            boolean heard = mFleet.isSelf(host) || mFleet.view().contains(host);
            if (heard && !leaving) {
                live.putIfAbsent(host, member.getValue());
            }
        }
    }

    private void keepLease() {
        if (mClosed) {
            return;
        }
        if (mLease == 0) {
            mStore.grantLease(LEASE_SECONDS)
                    .onSuccess(
                            lease -> {
                                mLease = lease;
                                mWritten = "";
                                writeRecord();
                            });
            return;
        }
        mStore.keepAlive(mLease)
                .onSuccess(
                        alive -> {
                            if (!alive) {
                                LOG.warn("step=store-write message=\"lease ended\"");
                                mLease = 0;
                                keepLease();
                            }
                        });
    }

    private void writeRecord() {
        long lease = mLease;
        String record = mRecord.apply(mFleet.isDraining()).toJson();
        if (lease == 0 || mClosed || record.equals(mWritten)) {
            return;
        }
        mWritten = record;
        mStore.commit(
                        new StoreTransaction()
                                .put(
                                        StoreKeys.hostRecord(mFleet.self()),
                                        record.getBytes(StandardCharsets.UTF_8),
                                        lease))
                .onFailure(e -> mWritten = "");
    }

    /** Announces that this host is leaving, so that its share goes to the others. */
    public void announceLeaving() {
        writeRecord();
    }

    /** Ends the lease, after which the other hosts know that this one has stopped. */
    public Future<Void> leave() {
        mClosed = true;
        long lease = mLease;
        return lease == 0
                ? Future.succeededFuture()
                : mStore.revokeLease(lease)
                        .timeout(POLL_MS, TimeUnit.MILLISECONDS)
                        .otherwiseEmpty();
    }

    @Override
    public void close() {
        mClosed = true;
        mVertx.cancelTimer(mPollTimer);
        mVertx.cancelTimer(mLeaseTimer);
    }
}
