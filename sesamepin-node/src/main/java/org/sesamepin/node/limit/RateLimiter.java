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
 * Limits each customer to its configured rate and burst, summed over all hosts. Each customer has
 * one coordinator; the other hosts request blocks of tokens from it. While no coordinator is
 * reachable, a request waits for a short time or is admitted from this host's own share.
 */
public final class RateLimiter implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_MS = 300;
    private static final long RETRY_INTERVAL_MS = 40;
    private static final long SWEEP_INTERVAL_MS = 50;
    private static final long REJECTION_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final double MIN_SHARE_FRACTION = 0.5;

    /** Rate limiting state of one customer on this host. */
    private static final class CustomerState {
        private final CustomerLimit mLimit;
        private final AtomicLong mWaitingCount = new AtomicLong();
        private @Nullable Future<TokenResult> mPendingRequest;
        private volatile long mRejectUntil;

        CustomerState(CustomerLimit limit, long now) {
            mLimit = limit;
            mRejectUntil = now;
        }
    }

    /**
     * Outcome of a token request.
     *
     * @param fromCoordinator whether the customer's coordinator replied
     * @param granted whether it granted a block of tokens
     * @param recovering whether it may have rejected a request that is within the rate
     * @param retryAfterMs time after which the request may be retried, milliseconds
     */
    private record TokenResult(
            boolean fromCoordinator, boolean granted, boolean recovering, long retryAfterMs) {}

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetTiming mTiming;
    private final BlockPolicy mPolicy;
    private final BundleManager mBundles;
    private final FleetView mFleet;
    private final PeerClient mPeers;
    private final DelegatedShares mDelegatedShares;
    private final ShareDelegator mShareDelegator;
    private final long mWaitNanos;
    private final AtomicLong mBlockIds;
    private final Map<String, CustomerState> mStates = new ConcurrentHashMap<>();
    private long mSweepTimer;

    /**
     * Creates a limiter whose requests wait up to {@code waitMs} milliseconds for a coordinator.
     */
    public RateLimiter(
            Vertx vertx,
            Ticker ticker,
            FleetTiming timing,
            BlockPolicy policy,
            BundleManager bundles,
            FleetView fleet,
            PeerClient peers,
            DelegatedShares delegatedShares,
            ShareDelegator shareDelegator,
            long waitMs) {
        mVertx = vertx;
        mTicker = ticker;
        mTiming = timing;
        mPolicy = policy;
        mBundles = bundles;
        mFleet = fleet;
        mPeers = peers;
        mDelegatedShares = delegatedShares;
        mShareDelegator = shareDelegator;
        mWaitNanos = TimeUnit.MILLISECONDS.toNanos(waitMs);
        mBlockIds = new AtomicLong(ticker.nanoTime());
    }

    /** Registers the handler of the token requests that this node serves as a coordinator. */
    public void registerHandlers(PeerServer server) {
        server.registerHandler(
                PeerRequest._Fields.TOKENS,
                r -> Future.succeededFuture(handleTokenRequest(r.getTokens())));
    }

    /** Decides whether a request of {@code customer} that costs {@code cost} tokens is admitted. */
    public Future<Admission> admit(Customer customer, double cost) {
        long now = mTicker.nanoTime();
        CustomerState state = stateOf(customer.name(), now);
        state.mLimit.countDemand(cost, now);
        return tryAdmit(customer, state, cost, now + mWaitNanos);
    }

    private CustomerState stateOf(String customer, long now) {
        return mStates.computeIfAbsent(
                customer,
                name -> {
                    CustomerLimit customerLimit =
                            new CustomerLimit(
                                    name,
                                    mTiming,
                                    mPolicy,
                                    mDelegatedShares,
                                    mShareDelegator,
                                    mBlockIds,
                                    now);
                    return new CustomerState(customerLimit, now);
                });
    }

    private Future<Admission> tryAdmit(
            Customer customer, CustomerState state, double cost, long deadlineNanos) {
        long now = mTicker.nanoTime();
        String coordinator = mFleet.ownerOf(customer.name());
        if (!mFleet.isSelf(coordinator)) {
            return admitFromBlock(customer, state, cost, deadlineNanos, coordinator);
        }
        if (state.mLimit.takeAsCoordinator(customer, cost, now)) {
            return admitted("coordinator");
        }
        boolean recovering = state.mLimit.isRecovering(customer, now) && now - deadlineNanos < 0;
        if (holdsEnoughShares(customer.name(), now) && !recovering) {
            long retryNanos = state.mLimit.retryNanos(customer, cost, now);
            return rejected(TimeUnit.NANOSECONDS.toMillis(retryNanos), "rate");
        }
        return admitWithoutCoordinator(customer, state, cost, deadlineNanos);
    }

    private Future<Admission> admitFromBlock(
            Customer customer,
            CustomerState state,
            double cost,
            long deadlineNanos,
            String coordinator) {
        long now = mTicker.nanoTime();
        if (state.mLimit.spendFromBlock(cost, now)) {
            return admitted("block");
        }
        long rejectedForNanos = state.mRejectUntil - now;
        if (rejectedForNanos > 0) {
            return rejected(Math.max(1, TimeUnit.NANOSECONDS.toMillis(rejectedForNanos)), "rate");
        }
        state.mWaitingCount.incrementAndGet();
        return requestTokens(customer, state, coordinator)
                .eventually(
                        () -> {
                            state.mWaitingCount.decrementAndGet();
                            return Future.succeededFuture();
                        })
                .compose(result -> onTokenResult(customer, state, cost, deadlineNanos, result));
    }

    private Future<Admission> onTokenResult(
            Customer customer,
            CustomerState state,
            double cost,
            long deadlineNanos,
            TokenResult result) {
        if (result.granted()) {
            boolean spent = state.mLimit.spendFromBlock(cost, mTicker.nanoTime());
            return spent ? admitted("block") : tryAdmit(customer, state, cost, deadlineNanos);
        }
        boolean mayWait = result.recovering() && mTicker.nanoTime() - deadlineNanos < 0;
        if (result.fromCoordinator() && !mayWait) {
            long cacheNanos =
                    Math.min(
                            REJECTION_CACHE_NANOS,
                            TimeUnit.MILLISECONDS.toNanos(result.retryAfterMs()));
            state.mRejectUntil = mTicker.nanoTime() + cacheNanos;
            return rejected(result.retryAfterMs(), "rate");
        }
        return admitWithoutCoordinator(customer, state, cost, deadlineNanos);
    }

    private Future<Admission> admitWithoutCoordinator(
            Customer customer, CustomerState state, double cost, long deadlineNanos) {
        long now = mTicker.nanoTime();
        if (state.mLimit.takeFromOwnShare(customer, cost, now)) {
            return admitted("own-share");
        }
        if (now - deadlineNanos >= 0) {
            return rejected(TimeUnit.SECONDS.toMillis(1), "no-coordinator");
        }
        return mVertx.timer(RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS)
                .compose(v -> tryAdmit(customer, state, cost, deadlineNanos));
    }

    /** Requests tokens from the coordinator; concurrent requests share one call to it. */
    private Future<TokenResult> requestTokens(
            Customer customer, CustomerState state, String coordinator) {
        synchronized (state) {
            if (state.mPendingRequest != null) {
                return state.mPendingRequest;
            }
            long now = mTicker.nanoTime();
            double needed = Math.max(1, state.mWaitingCount.get());
            double wanted = state.mLimit.tokensToRequest(customer, needed, now);
            Future<TokenResult> pending =
                    sendTokenRequest(customer.name(), state, coordinator, wanted);
            state.mPendingRequest = pending;
            pending.onComplete(
                    done -> {
                        synchronized (state) {
                            state.mPendingRequest = null;
                        }
                    });
            return pending;
        }
    }

    private Future<TokenResult> sendTokenRequest(
            String customer, CustomerState state, String coordinator, double wanted) {
        String address = mFleet.addressOf(coordinator);
        TokenResult noReply = new TokenResult(false, false, false, RETRY_INTERVAL_MS);
        if (address == null) {
            return Future.succeededFuture(noReply);
        }
        long sentAtNanos = mTicker.nanoTime();
        TokenRequest request = new TokenRequest();
        request.setCustomer(customer);
        request.setWanted(wanted);
        request.setHost(mFleet.self());
        request.setClosed(closeBlocksOf(state, coordinator, sentAtNanos));
        return mPeers.call(address, PeerRequest.tokens(request), REQUEST_TIMEOUT_MS)
                .map(reply -> recordReply(state, coordinator, sentAtNanos, reply.getTokens()))
                .otherwise(noReply);
    }

    private static List<ClosedBlock> closeBlocksOf(
            CustomerState state, String coordinator, long now) {
        List<ClosedBlock> closed = new ArrayList<>();
        for (BlockCache.ReturnedBlock block : state.mLimit.closeBlocks(now)) {
            if (block.coordinator().equals(coordinator)) {
                closed.add(new ClosedBlock(block.blockId(), block.unused()));
            }
        }
        return closed;
    }

    private static TokenResult recordReply(
            CustomerState state, String coordinator, long sentAtNanos, TokenReply reply) {
        if (!reply.isCoordinator()) {
            return new TokenResult(false, false, false, RETRY_INTERVAL_MS);
        }
        if (reply.getGranted() <= 0) {
            return new TokenResult(true, false, reply.isRecovering(), reply.getRetryAfterMs());
        }
        CustomerLimit.BlockGrant granted =
                new CustomerLimit.BlockGrant(
                        reply.getBlockId(),
                        reply.getGranted(),
                        TimeUnit.MILLISECONDS.toNanos(reply.getValidForMs()),
                        0);
        state.mLimit.addBlock(granted, coordinator, sentAtNanos);
        return new TokenResult(true, true, false, 0);
    }

    private PeerReply handleTokenRequest(TokenRequest request) {
        long now = mTicker.nanoTime();
        TokenReply reply = new TokenReply();
        Customer customer = mBundles.current().customers().get(request.getCustomer());
        boolean isOwner = mFleet.isSelf(mFleet.ownerOf(request.getCustomer()));
        if (customer == null || !isOwner) {
            return PeerReply.tokens(reply);
        }
        CustomerLimit limit = stateOf(customer.name(), now).mLimit;
        for (ClosedBlock block : request.getClosed()) {
            limit.acceptReturnedBlock(customer, block.getBlockId(), block.getUnused(), now);
        }
        if (!holdsEnoughShares(customer.name(), now)) {
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

    private boolean holdsEnoughShares(String customer, long now) {
        return mDelegatedShares.fractionHeldThroughout(customer, now, now) >= MIN_SHARE_FRACTION;
    }

    /** Refills the token buckets of all customers; called with each heartbeat. */
    public void refillBuckets() {
        long now = mTicker.nanoTime();
        for (Customer customer : mBundles.current().customers().values()) {
            stateOf(customer.name(), now).mLimit.refill(customer, now);
        }
    }

    /**
     * Starts the timer that reports spent blocks to their coordinators and returns the unused
     * tokens of blocks that are about to expire.
     */
    public void start() {
        mSweepTimer = mVertx.setPeriodic(SWEEP_INTERVAL_MS, t -> sweepClosedBlocks());
    }

    private void sweepClosedBlocks() {
        long now = mTicker.nanoTime();
        mStates.forEach((customer, state) -> returnClosedBlocks(customer, state, now));
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mSweepTimer);
    }

    private void returnClosedBlocks(String customer, CustomerState state, long now) {
        for (BlockCache.ReturnedBlock block : state.mLimit.closeBlocks(now)) {
            String address = mFleet.addressOf(block.coordinator());
            if (address != null) {
                TokenRequest request = new TokenRequest();
                request.setCustomer(customer);
                request.setHost(mFleet.self());
                request.setClosed(List.of(new ClosedBlock(block.blockId(), block.unused())));
                mPeers.call(address, PeerRequest.tokens(request), REQUEST_TIMEOUT_MS);
            }
        }
    }

    private static Future<Admission> admitted(String reason) {
        return Future.succeededFuture(new Admission(true, 0, reason));
    }

    private static Future<Admission> rejected(long retryAfterMs, String reason) {
        return Future.succeededFuture(new Admission(false, Math.max(1, retryAfterMs), reason));
    }
}
