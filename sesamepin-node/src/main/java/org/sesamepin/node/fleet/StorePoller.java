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
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.membership.Assignment;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the shared state of the fleet from the store once a second, maintains this host's record
 * under a lease, and updates the members of the fleet when they differ from the hosts with a lease.
 * Polls instead of a watch: a poll costs the store one read, as a watch would, and unlike a watch
 * it cannot become unresponsive unnoticed.
 */
public final class StorePoller implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StorePoller.class);
    private static final long POLL_INTERVAL_MS = 1_000;
    private static final long KEEP_ALIVE_INTERVAL_MS = 1_500;
    private static final long LEASE_SECONDS = 5;
    private static final int POLLS_BEFORE_FALLBACK_WRITE = 3;

    private final Vertx mVertx;
    private final PlatformStore mStore;
    private final Ticker mTicker;
    private final ShareLease mShareLease;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final Function<Boolean, HostRecord> mRecordFactory;
    private final Consumer<StoreListing> mPromptQuarantineReader;
    private final AtomicBoolean mPolling = new AtomicBoolean();
    private long mPollTimer;
    private long mLeaseTimer;
    private volatile long mLeaseId;
    private volatile String mWrittenRecord = "";
    private int mPollsWithDifference;
    private volatile boolean mClosed;
    private volatile boolean mReachable;

    /**
     * Creates a poller.
     *
     * @param record creates this host's record; its argument is whether the host is leaving
     * @param promptQuarantineReader receives the quarantine of prompts at each poll
     */
    public StorePoller(
            Vertx vertx,
            PlatformStore store,
            Ticker ticker,
            ShareLease shareLease,
            FleetView fleet,
            BundleManager bundles,
            Function<Boolean, HostRecord> record,
            Consumer<StoreListing> promptQuarantineReader) {
        mVertx = vertx;
        mStore = store;
        mTicker = ticker;
        mShareLease = shareLease;
        mFleet = fleet;
        mBundles = bundles;
        mRecordFactory = record;
        mPromptQuarantineReader = promptQuarantineReader;
    }

    /** Starts polling the store and renewing the lease; the first poll runs at once. */
    public void start() {
        mPollTimer = mVertx.setPeriodic(0, POLL_INTERVAL_MS, t -> poll());
        mLeaseTimer = mVertx.setPeriodic(0, KEEP_ALIVE_INTERVAL_MS, t -> renewLease());
        mBundles.onChange(b -> mVertx.runOnContext(v -> writeRecord()));
    }

    /** Returns whether the last poll succeeded. */
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
                        StoreRead.ofPrefix(StoreKeys.HOSTS_PREFIX),
                        StoreRead.ofPrefix(StoreKeys.PROMPT_QUARANTINE_PREFIX));
        mStore.read(reads)
                .compose(result -> onPollResult(result, sentAt))
                .onComplete(
                        done -> {
                            mPolling.set(false);
                            recordReachability(done.succeeded());
                        });
    }

    private void recordReachability(boolean reachable) {
        if (reachable != mReachable) {
            LOG.info("step=store-read store-reachable={}", reachable);
        }
        mReachable = reachable;
    }

    private Future<Void> onPollResult(StoreResult result, long sentAt) {
        mPromptQuarantineReader.accept(new StoreListing(result.revision(), result.entries()));
        List<HostRecord> hosts = parseHostRecords(result);
        mFleet.setPeerAddresses(
                hosts.stream()
                        .filter(h -> !mFleet.isSelf(h.host()))
                        .map(HostRecord::peerAddress)
                        .toList());
        StoreEntry assignment = result.entry(StoreKeys.ASSIGNMENT);
        adoptAssignment(assignment, sentAt);
        updateMembers(assignment, hosts);
        if (mLeaseId != 0 && result.entry(StoreKeys.hostRecord(mFleet.self())) == null) {
            mWrittenRecord = "";
            writeRecord();
        }
        StoreEntry head = result.entry(StoreKeys.BUNDLE_HEAD);
        if (head == null) {
            return Future.succeededFuture();
        }
        return mBundles.onHeadRead(BundleHead.fromJson(head.text()), sentAt);
    }

    private static List<HostRecord> parseHostRecords(StoreResult result) {
        List<HostRecord> hosts = new ArrayList<>();
        for (StoreEntry entry : result.entries()) {
            if (entry.key().startsWith(StoreKeys.HOSTS_PREFIX)) {
                hosts.add(HostRecord.fromJson(entry.text()));
            }
        }
        return hosts;
    }

    private void adoptAssignment(@Nullable StoreEntry entry, long sentAt) {
        if (entry == null) {
            return;
        }
        try {
            Assignment assignment = Assignment.fromJson(entry.text());
            if (mShareLease.adopt(assignment)) {
                LOG.info(
                        "step=store-read epoch={} members={}",
                        assignment.epoch(),
                        assignment.members().keySet());
            }
            mShareLease.recordStoreConfirmation(sentAt, assignment.epoch());
        } catch (SesamepinException e) {
            LOG.error("step=store-read message=\"{}\"", e.getMessage());
        }
    }

    /**
     * Writes a new assignment when the members differ from the hosts that have a lease or whose
     * heartbeats arrive. The live host with the first name writes it at once; the others do so only
     * if the difference is still there after a few polls.
     */
    private void updateMembers(@Nullable StoreEntry entry, List<HostRecord> hosts) {
        TreeMap<String, Integer> live = new TreeMap<>();
        hosts.stream().filter(h -> !h.leaving()).forEach(h -> live.put(h.host(), h.weight()));
        Assignment current = mShareLease.assignment();
        keepLiveMembers(current, hosts, live);
        boolean unchanged = live.equals(current.members());
        boolean mayChange = current.epoch() == 0 ? entry == null : mShareLease.isSettled();
        if (unchanged || live.isEmpty() || !mayChange) {
            mPollsWithDifference = 0;
            return;
        }
        mPollsWithDifference++;
        boolean isFirstLiveHost = live.firstKey().equals(mFleet.self());
        if (!isFirstLiveHost && mPollsWithDifference < POLLS_BEFORE_FALLBACK_WRITE) {
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
     * Adds the members without a lease whose heartbeats still arrive to the live hosts. After an
     * outage of the store all leases may have ended, and the shares of live hosts need not move.
     */
    private void keepLiveMembers(
            Assignment current, List<HostRecord> hosts, TreeMap<String, Integer> live) {
        for (Map.Entry<String, Integer> member : current.members().entrySet()) {
            String host = member.getKey();
            boolean leaving = hosts.stream().anyMatch(h -> h.host().equals(host) && h.leaving());
            boolean isLive = mFleet.isSelf(host) || mFleet.view().contains(host);
            if (isLive && !leaving) {
                live.putIfAbsent(host, member.getValue());
            }
        }
    }

    private void renewLease() {
        if (mClosed) {
            return;
        }
        if (mLeaseId == 0) {
            mStore.grantLease(LEASE_SECONDS)
                    .onSuccess(
                            lease -> {
                                mLeaseId = lease;
                                mWrittenRecord = "";
                                writeRecord();
                            });
            return;
        }
        mStore.keepAlive(mLeaseId)
                .onSuccess(
                        alive -> {
                            if (!alive) {
                                LOG.warn("step=store-write message=\"the host's lease has ended\"");
                                mLeaseId = 0;
                                renewLease();
                            }
                        });
    }

    private void writeRecord() {
        long lease = mLeaseId;
        String record = mRecordFactory.apply(mFleet.isDraining()).toJson();
        if (lease == 0 || mClosed || record.equals(mWrittenRecord)) {
            return;
        }
        mWrittenRecord = record;
        mStore.commit(
                        new StoreTransaction()
                                .put(
                                        StoreKeys.hostRecord(mFleet.self()),
                                        record.getBytes(StandardCharsets.UTF_8),
                                        lease))
                .onFailure(e -> mWrittenRecord = "");
    }

    /** Writes the host record marked as leaving, so that this host's share goes to the others. */
    public void announceLeaving() {
        writeRecord();
    }

    /**
     * Stops polling and revokes the lease, by which the other hosts learn that this one has
     * stopped. The future completes also if the store cannot be reached.
     */
    public Future<Void> leave() {
        mClosed = true;
        long lease = mLeaseId;
        return lease == 0
                ? Future.succeededFuture()
                : mStore.revokeLease(lease)
                        .timeout(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)
                        .otherwiseEmpty();
    }

    @Override
    public void close() {
        mClosed = true;
        mVertx.cancelTimer(mPollTimer);
        mVertx.cancelTimer(mLeaseTimer);
    }
}
