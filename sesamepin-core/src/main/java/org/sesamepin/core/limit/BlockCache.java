package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Blocks of one customer's tokens that this host may spend until they end. Thread-safe: an
 * immutable list is swapped atomically, so a token is spent at most once.
 */
public final class BlockCache {
    /** Time before a block's end at which what is left of it goes back, nanoseconds. */
    private static final long RETURN_AHEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * A block that this host spends nothing from any more.
     *
     * @param blockId as given by the coordinator
     * @param coordinator the host that granted it
     * @param unused tokens that go back
     */
    public record ReturnedBlock(long blockId, String coordinator, double unused) {}

    private record Block(long blockId, String coordinator, double left, long endsAt) {
        Block spend(double cost) {
            return new Block(blockId, coordinator, left - cost, endsAt);
        }
    }

    private final AtomicReference<List<Block>> mBlocks = new AtomicReference<>(List.of());
    private final BlockPolicy mPolicy;

    /** Creates an empty cache. */
    public BlockCache(BlockPolicy policy) {
        mPolicy = policy;
    }

    /** Spends {@code cost} tokens from one block that has not ended, or nothing. */
    public boolean spend(double cost, long now) {
        while (true) {
            List<Block> before = mBlocks.get();
            int index = usable(before, cost, now);
            if (index < 0) {
                return false;
            }
            List<Block> after = new ArrayList<>(before);
            after.set(index, before.get(index).spend(cost));
            if (mBlocks.compareAndSet(before, after)) {
                return true;
            }
        }
    }

    /** Adds a block that ends {@code validNanos} after {@code askedAt}. */
    public void add(
            long blockId, String coordinator, double tokens, long askedAt, long validNanos) {
        Block block = new Block(blockId, coordinator, tokens, askedAt + validNanos);
        mBlocks.updateAndGet(
                blocks -> {
                    List<Block> after = new ArrayList<>(blocks);
                    after.add(block);
                    return after;
                });
    }

    /** Removes and returns the blocks that are spent, or so near their end that they go back. */
    public List<ReturnedBlock> close(long now) {
        while (true) {
            List<Block> before = mBlocks.get();
            if (before.isEmpty()) {
                return List.of();
            }
            List<Block> kept = new ArrayList<>();
            List<ReturnedBlock> closed = new ArrayList<>();
            for (Block block : before) {
                boolean ending = now - block.endsAt() + RETURN_AHEAD_NANOS >= 0;
                if (ending || block.left() <= 0) {
                    closed.add(
                            new ReturnedBlock(block.blockId(), block.coordinator(), block.left()));
                } else {
                    kept.add(block);
                }
            }
            if (closed.isEmpty()) {
                return closed;
            }
            if (mBlocks.compareAndSet(before, kept)) {
                return closed;
            }
        }
    }

    /** Returns how many tokens to ask for when {@code cost} are needed. */
    public double wanted(double cost, double demandPerSecond, double burst) {
        return mPolicy.wanted(cost, demandPerSecond, burst);
    }

    private static int usable(List<Block> blocks, double cost, long now) {
        for (int i = 0; i < blocks.size(); i++) {
            Block block = blocks.get(i);
            if (block.left() >= cost && now - block.endsAt() < 0) {
                return i;
            }
        }
        return -1;
    }
}
