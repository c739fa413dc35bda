package org.sesamepin.node.limit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.limit.BlockCache;
import org.sesamepin.core.limit.BlockPolicy;
import org.sesamepin.core.limit.CustomerLimit;
import org.sesamepin.core.limit.DelegatedShares;
import org.sesamepin.core.limit.ShareDelegator;
import org.sesamepin.core.membership.FleetTiming;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.ClosedBlock;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.TokenReply;
import org.sesamepin.node.peer.generated.TokenRequest;

/**
 * Admits requests so that a customer gets at most its rate and burst over all hosts together. Each
 * customer has one coordinator; other hosts ask it for blocks of tokens. While no coordinator can
 * be asked, a request waits a short time or runs from this host's own share.
 */
public final class RateLimiter implements AutoCloseable {
    private static final long ASK_TIMEOUT_MS = 300;
    private static final long RETRY_MS = 40;
    private static final long SWEEP_MS = 50;
    private static final long REFUSAL_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final double ENOUGH_SHARES = 0.5;

    /** State of one customer on this host. */
    private static final class Entry {
        private final CustomerLimit mLimit;
        private final AtomicLong mWaiting = new AtomicLong();
        private @Nullable Future<Asked> mAsking;
        private volatile long mRefusedUntil;

        Entry(CustomerLimit limit, long now) {
            mLimit = limit;
            mRefusedUntil = now;
        }
    }

    private record Asked(boolean coordinator, boolean granted, boolean recovering, long retryMs) {}

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetTiming mTiming;
    private final BlockPolicy mPolicy;
    private final BundleManager mBundles;
    private final FleetView mFleet;
    private final PeerClient mPeers;
    private final DelegatedShares mDelegations;
    private final ShareDelegator mDelegator;
    private final long mWaitNanos;
    private final AtomicLong mBlockIds;
    private final Map<String, Entry> mEntries = new ConcurrentHashMap<>();
    private long mSweepTimer;

    /** Creates a limiter whose requests wait up to {@code waitMs} for a coordinator. */
    public RateLimiter(
            Vertx vertx,
            Ticker ticker,
            FleetTiming timing,
            BlockPolicy policy,
            BundleManager bundles,
            FleetView fleet,
            PeerClient peers,
            DelegatedShares delegations,
            ShareDelegator delegator,
            long waitMs) {
        mVertx = vertx;
        mTicker = ticker;
        mTiming = timing;
        mPolicy = policy;
        mBundles = bundles;
        mFleet = fleet;
        mPeers = peers;
        mDelegations = delegations;
        mDelegator = delegator;
        mWaitNanos = TimeUnit.MILLISECONDS.toNanos(waitMs);
        mBlockIds = new AtomicLong(ticker.nanoTime());
    }

    /** Registers the call that this node answers as a coordinator. */
    public void register(PeerServer server) {
        server.registerHandler(
                PeerRequest._Fields.TOKENS, r -> Future.succeededFuture(grant(r.getTokens())));
    }

    /** Decides about a request of {@code cost} for {@code customer}. */
    public Future<Admission> admit(Customer customer, double cost) {
        long now = mTicker.nanoTime();
        Entry entry = entry(customer.name(), now);
        entry.mLimit.countDemand(cost, now);
        return attempt(customer, entry, cost, now + mWaitNanos);
    }

    private Entry entry(String customer, long now) {
        return mEntries.computeIfAbsent(
                customer,
                name -> {
                    CustomerLimit limit =
                            new CustomerLimit(
                                    name,
                                    mTiming,
                                    mPolicy,
                                    mDelegations,
                                    mDelegator,
                                    mBlockIds,
                                    now);
                    return new Entry(limit, now);
                });
    }

    private Future<Admission> attempt(Customer customer, Entry entry, double cost, long deadline) {
        long now = mTicker.nanoTime();
        String coordinator = mFleet.ownerOf(customer.name());
        if (!mFleet.isSelf(coordinator)) {
            return askRemote(customer, entry, cost, deadline, coordinator);
        }
        if (entry.mLimit.takeAsCoordinator(customer, cost, now)) {
            return admitted("coordinator");
        }
        boolean recovering = entry.mLimit.isRecovering(customer, now) && now - deadline < 0;
        if (isReady(customer.name(), now) && !recovering) {
            long retry = entry.mLimit.retryNanos(customer, cost, now);
            return refused(TimeUnit.NANOSECONDS.toMillis(retry), "rate");
        }
        return withoutCoordinator(customer, entry, cost, deadline);
    }

    private Future<Admission> askRemote(
            Customer customer, Entry entry, double cost, long deadline, String coordinator) {
        long now = mTicker.nanoTime();
        if (entry.mLimit.spendFromBlock(cost, now)) {
            return admitted("block");
        }
        long refusedFor = entry.mRefusedUntil - now;
        if (refusedFor > 0) {
            return refused(Math.max(1, TimeUnit.NANOSECONDS.toMillis(refusedFor)), "rate");
        }
        entry.mWaiting.incrementAndGet();
        return ask(customer, entry, coordinator)
                .eventually(
                        () -> {
                            entry.mWaiting.decrementAndGet();
                            return Future.succeededFuture();
                        })
                .compose(asked -> asked(customer, entry, cost, deadline, asked));
    }

    private Future<Admission> asked(
            Customer customer, Entry entry, double cost, long deadline, Asked asked) {
        if (asked.granted()) {
            boolean spent = entry.mLimit.spendFromBlock(cost, mTicker.nanoTime());
            return spent ? admitted("block") : attempt(customer, entry, cost, deadline);
        }
        boolean wait = asked.recovering() && mTicker.nanoTime() - deadline < 0;
        if (asked.coordinator() && !wait) {
            long cached =
                    Math.min(REFUSAL_CACHE_NANOS, TimeUnit.MILLISECONDS.toNanos(asked.retryMs()));
            entry.mRefusedUntil = mTicker.nanoTime() + cached;
            return refused(asked.retryMs(), "rate");
        }
        return withoutCoordinator(customer, entry, cost, deadline);
    }

    private Future<Admission> withoutCoordinator(
            Customer customer, Entry entry, double cost, long deadline) {
        long now = mTicker.nanoTime();
        if (entry.mLimit.takeFromOwnShare(customer, cost, now)) {
            return admitted("own-share");
        }
        if (now - deadline >= 0) {
            return refused(TimeUnit.SECONDS.toMillis(1), "no-coordinator");
        }
        return mVertx.timer(RETRY_MS, TimeUnit.MILLISECONDS)
                .compose(v -> attempt(customer, entry, cost, deadline));
    }

    /** Asks the coordinator for tokens; concurrent requests share one question. */
    private Future<Asked> ask(Customer customer, Entry entry, String coordinator) {
        synchronized (entry) {
            if (entry.mAsking != null) {
                return entry.mAsking;
            }
            long now = mTicker.nanoTime();
            double need = Math.max(1, entry.mWaiting.get());
            double wanted = entry.mLimit.tokensToRequest(customer, need, now);
            Future<Asked> asking = send(customer.name(), entry, coordinator, wanted);
            entry.mAsking = asking;
            asking.onComplete(
                    done -> {
                        synchronized (entry) {
                            entry.mAsking = null;
                        }
                    });
            return asking;
        }
    }

    private Future<Asked> send(String customer, Entry entry, String coordinator, double wanted) {
        String address = mFleet.addressOf(coordinator);
        Asked nobody = new Asked(false, false, false, RETRY_MS);
        if (address == null) {
            return Future.succeededFuture(nobody);
        }
        long askedAt = mTicker.nanoTime();
        TokenRequest request = new TokenRequest();
        request.setCustomer(customer);
        request.setWanted(wanted);
        request.setHost(mFleet.self());
        request.setClosed(closed(entry, coordinator, askedAt));
        return mPeers.call(address, PeerRequest.tokens(request), ASK_TIMEOUT_MS)
                .map(reply -> received(entry, coordinator, askedAt, reply.getTokens()))
                .otherwise(nobody);
    }

    private static List<ClosedBlock> closed(Entry entry, String coordinator, long now) {
        List<ClosedBlock> closed = new ArrayList<>();
        for (BlockCache.ReturnedBlock block : entry.mLimit.closeBlocks(now)) {
            if (block.coordinator().equals(coordinator)) {
                closed.add(new ClosedBlock(block.blockId(), block.unused()));
            }
        }
        return closed;
    }

    private static Asked received(Entry entry, String coordinator, long askedAt, TokenReply reply) {
        if (!reply.isCoordinator()) {
            return new Asked(false, false, false, RETRY_MS);
        }
        if (reply.getGranted() <= 0) {
            return new Asked(true, false, reply.isRecovering(), reply.getRetryAfterMs());
        }
        CustomerLimit.BlockGrant granted =
                new CustomerLimit.BlockGrant(
                        reply.getBlockId(),
                        reply.getGranted(),
                        TimeUnit.MILLISECONDS.toNanos(reply.getValidForMs()),
                        0);
        entry.mLimit.addBlock(granted, coordinator, askedAt);
        return new Asked(true, true, false, 0);
    }

    private PeerReply grant(TokenRequest request) {
        long now = mTicker.nanoTime();
        TokenReply reply = new TokenReply();
        Customer customer = mBundles.current().customers().get(request.getCustomer());
        boolean owner = mFleet.isSelf(mFleet.ownerOf(request.getCustomer()));
        if (customer == null || !owner) {
            return PeerReply.tokens(reply);
        }
        CustomerLimit limit = entry(customer.name(), now).mLimit;
        for (ClosedBlock block : request.getClosed()) {
            limit.acceptReturnedBlock(customer, block.getBlockId(), block.getUnused(), now);
        }
        if (!isReady(customer.name(), now)) {
            return PeerReply.tokens(reply);
        }
        reply.setCoordinator(true);
        if (request.getWanted() > 0) {
            CustomerLimit.BlockGrant granted =
                    limit.grantBlock(customer, request.getWanted(), 1, now);
            reply.setRecovering(limit.isRecovering(customer, now));
            reply.setBlockId(granted.blockId());
            reply.setGranted(granted.tokens());
            reply.setValidForMs(TimeUnit.NANOSECONDS.toMillis(granted.validNanos()));
            reply.setRetryAfterMs(TimeUnit.NANOSECONDS.toMillis(granted.retryNanos()) + 1);
        }
        return PeerReply.tokens(reply);
    }

    private boolean isReady(String customer, long now) {
        return mDelegations.fractionHeldThroughout(customer, now, now) >= ENOUGH_SHARES;
    }

    /** Brings refills up to date; runs with each heartbeat. */
    public void refresh() {
        long now = mTicker.nanoTime();
        for (Customer customer : mBundles.current().customers().values()) {
            entry(customer.name(), now).mLimit.refill(customer, now);
        }
    }

    /** Starts reporting spent blocks and giving back the unused part of ending ones. */
    public void start() {
        mSweepTimer = mVertx.setPeriodic(SWEEP_MS, t -> sweep());
    }

    private void sweep() {
        long now = mTicker.nanoTime();
        mEntries.forEach((customer, entry) -> giveBack(customer, entry, now));
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mSweepTimer);
    }

    private void giveBack(String customer, Entry entry, long now) {
        for (BlockCache.ReturnedBlock block : entry.mLimit.closeBlocks(now)) {
            String address = mFleet.addressOf(block.coordinator());
            if (address != null) {
                TokenRequest request = new TokenRequest();
                request.setCustomer(customer);
                request.setHost(mFleet.self());
                request.setClosed(List.of(new ClosedBlock(block.blockId(), block.unused())));
                mPeers.call(address, PeerRequest.tokens(request), ASK_TIMEOUT_MS);
            }
        }
    }

    private static Future<Admission> admitted(String reason) {
        return Future.succeededFuture(new Admission(true, 0, reason));
    }

    private static Future<Admission> refused(long retryMs, String reason) {
        return Future.succeededFuture(new Admission(false, Math.max(1, retryMs), reason));
    }
}
