package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The token blocks of one customer that a coordinator granted to this host and that have not
 * expired. Thread-safe: the immutable list of blocks is replaced atomically, so that a token is
 * spent at most once.
 */
public final class BlockCache {
    /** How long before a block expires its unused tokens are returned, in nanoseconds. */
    private static final long RETURN_BEFORE_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * A block that has been removed from the cache and whose unused tokens are to be returned.
     *
     * @param blockId the id that the coordinator gave the block
     * @param coordinator the host that granted the block
     * @param unused number of tokens to return
     */
    public record ReturnedBlock(long blockId, String coordinator, double unused) {}

    private record Block(long blockId, String coordinator, double remainingTokens, long expiresAt) {
        Block spend(double cost) {
            return new Block(blockId, coordinator, remainingTokens - cost, expiresAt);
        }
    }

    private final AtomicReference<List<Block>> mBlocks = new AtomicReference<>(List.of());
    private final BlockPolicy mPolicy;

    /** Creates an empty cache; {@code policy} sizes the blocks to request. */
    public BlockCache(BlockPolicy policy) {
        mPolicy = policy;
    }

    /** Spends {@code cost} tokens from one unexpired block; returns false if none has enough. */
    public boolean spend(double cost, long now) {
        while (true) {
            List<Block> current = mBlocks.get();
            int index = indexOfUsableBlock(current, cost, now);
            if (index < 0) {
                return false;
            }
            List<Block> updated = new ArrayList<>(current);
            updated.set(index, current.get(index).spend(cost));
            if (mBlocks.compareAndSet(current, updated)) {
                return true;
            }
        }
    }

    /**
     * Adds a block. It expires {@code validNanos} after {@code requestedAt}, the time at which the
     * request for the block was sent.
     */
    public void add(
            long blockId, String coordinator, double tokens, long requestedAt, long validNanos) {
        Block block = new Block(blockId, coordinator, tokens, requestedAt + validNanos);
        mBlocks.updateAndGet(
                blocks -> {
                    List<Block> updated = new ArrayList<>(blocks);
                    updated.add(block);
                    return updated;
                });
    }

    /** Removes and returns the blocks that are empty or about to expire. */
    public List<ReturnedBlock> closeBlocks(long now) {
        while (true) {
            List<Block> current = mBlocks.get();
            if (current.isEmpty()) {
                return List.of();
            }
            List<Block> remaining = new ArrayList<>();
            List<ReturnedBlock> closed = new ArrayList<>();
            for (Block block : current) {
                boolean aboutToExpire = now - block.expiresAt() + RETURN_BEFORE_EXPIRY_NANOS >= 0;
                if (aboutToExpire || block.remainingTokens() <= 0) {
                    closed.add(
                            new ReturnedBlock(
                                    block.blockId(), block.coordinator(), block.remainingTokens()));
                } else {
                    remaining.add(block);
                }
            }
            if (closed.isEmpty()) {
                return closed;
            }
            if (mBlocks.compareAndSet(current, remaining)) {
                return closed;
            }
        }
    }

    /** Returns how many tokens to request when {@code cost} tokens are needed now. */
    public double tokensToRequest(double cost, double demandPerSecond, double burst) {
        return mPolicy.tokensToRequest(cost, demandPerSecond, burst);
    }

    private static int indexOfUsableBlock(List<Block> blocks, double cost, long now) {
        for (int i = 0; i < blocks.size(); i++) {
            Block block = blocks.get(i);
            if (block.remainingTokens() >= cost && now - block.expiresAt() < 0) {
                return i;
            }
        }
        return -1;
    }
}
