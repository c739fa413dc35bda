package org.sesamepin.core.limit;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.membership.FleetTiming;

/**
 * Everything one host decides about one customer's rate: as its coordinator, from the host's own
 * share while it is not delegated, and from blocks granted by another coordinator. Thread-safe.
 */
public final class CustomerLimit {
    /**
     * Answer to a request for tokens.
     *
     * @param blockId names the block
     * @param tokens granted; 0 when there are not enough
     * @param validNanos how long they may be spent from when the question was sent
     * @param retryNanos when tokens will be there, at the earliest
     */
    public record BlockGrant(long blockId, double tokens, long validNanos, long retryNanos) {}

    private final FleetTiming mTiming;
    private final AtomicLong mBlockIds;
    private final ShareBucket mCoordinated;
    private final ShareBucket mOwn;
    private final BlockCache mBlocks;
    private final DemandMeter mDemand;

    /** Creates the limit of the customer {@code name}, empty at {@code now}. */
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
        mCoordinated =
                new ShareBucket((s, n) -> delegations.fractionHeldThroughout(name, s, n), now);
        mOwn = new ShareBucket((s, n) -> delegator.fractionHeldThroughout(name, s, n), now);
        mBlocks = new BlockCache(policy);
        mDemand = new DemandMeter(now);
    }

    /** Admits a request of {@code cost} from what this host holds already, as its coordinator. */
    public boolean takeAsCoordinator(Customer customer, double cost, long now) {
        return mCoordinated.take(cost, customer.rate(), customer.burst(), now);
    }

    /** Admits a request from this host's own share, which is empty while it is delegated. */
    public boolean takeFromOwnShare(Customer customer, double cost, long now) {
        return mOwn.take(cost, customer.rate(), customer.burst(), now);
    }

    /** Admits a request from a block in hand. */
    public boolean spendFromBlock(double cost, long now) {
        return mBlocks.spend(cost, now);
    }

    /** Counts a request towards the demand that sizes the blocks. */
    public void countDemand(double cost, long now) {
        mDemand.count(cost, now);
    }

    /** Returns how many tokens to ask the coordinator for. */
    public double tokensToRequest(Customer customer, double cost, long now) {
        return mBlocks.wanted(cost, mDemand.perSecond(now), customer.burst());
    }

    /** Grants another host a block, as the customer's coordinator. */
    public BlockGrant grantBlock(Customer customer, double wanted, double least, long now) {
        long id = mBlockIds.incrementAndGet();
        double rate = customer.rate();
        double burst = customer.burst();
        long endsAt = now + FleetTiming.withMargin(mTiming.blockNanos());
        double tokens = mCoordinated.grant(id, wanted, least, endsAt, rate, burst, now);
        long retry = tokens > 0 ? 0 : mCoordinated.nanosUntil(least, rate, burst, now);
        return new BlockGrant(id, tokens, mTiming.blockNanos(), retry);
    }

    /** Takes back what another host did not spend of a block. */
    public void acceptReturnedBlock(Customer customer, long blockId, double unused, long now) {
        mCoordinated.close(blockId, unused, customer.rate(), customer.burst(), now);
    }

    /** Adds a block that a coordinator granted. */
    public void addBlock(BlockGrant granted, String coordinator, long askedAt) {
        mBlocks.add(
                granted.blockId(), coordinator, granted.tokens(), askedAt, granted.validNanos());
    }

    /** Returns the blocks that go back to their coordinators. */
    public List<BlockCache.ReturnedBlock> closeBlocks(long now) {
        return mBlocks.close(now);
    }

    /** Returns when a refused request may be tried again, nanoseconds from now. */
    public long retryNanos(Customer customer, double cost, long now) {
        long floor = TimeUnit.MILLISECONDS.toNanos(1);
        return Math.max(
                floor, mCoordinated.nanosUntil(cost, customer.rate(), customer.burst(), now));
    }

    /** Tells whether a refusal by this coordinator may hit a request inside the rate. */
    public boolean isRecovering(Customer customer, long now) {
        return mCoordinated.isRecovering(customer.rate(), customer.burst(), now);
    }

    /** Brings the refill up to date; called several times a second for each customer. */
    public void refill(Customer customer, long now) {
        mCoordinated.refresh(customer.rate(), customer.burst(), now);
        mOwn.refresh(customer.rate(), customer.burst(), now);
    }
}
