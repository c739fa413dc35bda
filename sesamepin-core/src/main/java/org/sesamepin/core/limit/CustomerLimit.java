package org.sesamepin.core.limit;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.membership.FleetTiming;

/**
 * Rate limit of one customer on one host. The host admits requests from three sources: the
 * delegated shares, if it is the customer's coordinator; its own share, while that is not
 * delegated; and token blocks granted by another coordinator. Thread-safe.
 */
public final class CustomerLimit {
    /**
     * A coordinator's reply to a request for tokens.
     *
     * @param blockId id of the granted block
     * @param tokens number of tokens granted; 0 if too few are available
     * @param validNanos how long the tokens may be spent, counted from when the request was sent
     * @param retryNanos time until enough tokens are available at the earliest; 0 if granted
     */
    public record BlockGrant(long blockId, double tokens, long validNanos, long retryNanos) {}

    private final FleetTiming mTiming;
    private final AtomicLong mBlockIds;
    private final ShareBucket mCoordinatedBucket;
    private final ShareBucket mOwnShareBucket;
    private final BlockCache mBlockCache;
    private final DemandMeter mDemandMeter;

    /** Creates the limit of the customer {@code name}; its buckets are empty at {@code now}. */
    public CustomerLimit(
            String name,
            FleetTiming timing,
            BlockPolicy policy,
            DelegatedShares delegations,
            ShareDelegator delegator,
            AtomicLong blockIds,
            long now) {
        mTiming = timing;
        mBlockIds = blockIds;
        mCoordinatedBucket =
                new ShareBucket((s, n) -> delegations.fractionHeldThroughout(name, s, n), now);
        mOwnShareBucket =
                new ShareBucket((s, n) -> delegator.fractionHeldThroughout(name, s, n), now);
        mBlockCache = new BlockCache(policy);
        mDemandMeter = new DemandMeter(now);
    }

    /**
     * Takes tokens for a request from the shares delegated to this host as the customer's
     * coordinator; returns false if there are too few.
     */
    public boolean takeAsCoordinator(Customer customer, double cost, long now) {
        return mCoordinatedBucket.take(cost, customer.rate(), customer.burst(), now);
    }

    /**
     * Takes tokens for a request from this host's own share, which is empty while it is delegated;
     * returns false if there are too few.
     */
    public boolean takeFromOwnShare(Customer customer, double cost, long now) {
        return mOwnShareBucket.take(cost, customer.rate(), customer.burst(), now);
    }

    /**
     * Takes tokens for a request from a block that another coordinator granted to this host;
     * returns false if no block has enough.
     */
    public boolean spendFromBlock(double cost, long now) {
        return mBlockCache.spend(cost, now);
    }

    /** Counts a request in the demand from which block sizes are computed. */
    public void countDemand(double cost, long now) {
        mDemandMeter.count(cost, now);
    }

    /** Returns how many tokens to request from the coordinator. */
    public double tokensToRequest(Customer customer, double cost, long now) {
        return mBlockCache.tokensToRequest(
                cost, mDemandMeter.tokensPerSecond(now), customer.burst());
    }

    /**
     * Grants a block to another host, as the customer's coordinator. The block expires here later
     * than at its holder, by the margin for clock drift.
     *
     * @param wanted tokens that the host requests
     * @param least fewest tokens worth granting; nothing is granted if fewer are available
     */
    public BlockGrant grantBlock(Customer customer, double wanted, double least, long now) {
        long id = mBlockIds.incrementAndGet();
        double rate = customer.rate();
        double burst = customer.burst();
        long expiresAt = now + FleetTiming.withMargin(mTiming.blockNanos());
        double tokens =
                mCoordinatedBucket.grantBlock(id, wanted, least, expiresAt, rate, burst, now);
        long retry = tokens > 0 ? 0 : mCoordinatedBucket.nanosUntil(least, rate, burst, now);
        return new BlockGrant(id, tokens, mTiming.blockNanos(), retry);
    }

    /** Accepts the unused tokens of a block that was granted to another host. */
    public void acceptReturnedBlock(Customer customer, long blockId, double unused, long now) {
        mCoordinatedBucket.closeBlock(blockId, unused, customer.rate(), customer.burst(), now);
    }

    /**
     * Adds a block that {@code coordinator} granted in reply to a request sent at {@code
     * requestedAt}.
     */
    public void addBlock(BlockGrant grant, String coordinator, long requestedAt) {
        mBlockCache.add(
                grant.blockId(), coordinator, grant.tokens(), requestedAt, grant.validNanos());
    }

    /** Removes and returns the blocks whose unused tokens go back to their coordinators. */
    public List<BlockCache.ReturnedBlock> closeBlocks(long now) {
        return mBlockCache.closeBlocks(now);
    }

    /** Returns after how many nanoseconds a rejected request may be retried, at least 1 ms. */
    public long retryNanos(Customer customer, double cost, long now) {
        long minimumNanos = TimeUnit.MILLISECONDS.toNanos(1);
        return Math.max(
                minimumNanos,
                mCoordinatedBucket.nanosUntil(cost, customer.rate(), customer.burst(), now));
    }

    /** Returns whether this coordinator may currently reject requests that are within the rate. */
    public boolean isRecovering(Customer customer, long now) {
        return mCoordinatedBucket.isRecovering(customer.rate(), customer.burst(), now);
    }

    /** Refills the buckets up to {@code now}; called several times a second for each customer. */
    public void refill(Customer customer, long now) {
        mCoordinatedBucket.refill(customer.rate(), customer.burst(), now);
        mOwnShareBucket.refill(customer.rate(), customer.burst(), now);
    }
}
