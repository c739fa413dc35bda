package org.sesamepin.core.limit;

import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Model check of {@link BlockCache}: no interleaving of threads may spend a token of a block twice,
 * which would admit more requests than the coordinator granted.
 */
public class BlockCacheConcurrencyTest {
    private final BlockCache mCache = new BlockCache(BlockPolicy.ADAPTIVE_BLOCK);

    /** Spends one token. */
    @Operation
    public boolean spend() {
        return mCache.spend(1, 0);
    }

    /** Adds a block of two tokens. */
    @Operation
    public void add() {
        mCache.add(1, "host", 2, 0, 1_000_000_000);
    }

    /** Closes the empty blocks; returns their number. */
    @Operation
    public int close() {
        return mCache.closeBlocks(0).size();
    }

    @Test
    void isLinearizable() {
        ModelCheckingOptions options =
                new ModelCheckingOptions()
                        .iterations(15)
                        .invocationsPerIteration(300)
                        .threads(2)
                        .actorsPerThread(3);
        LinChecker.check(BlockCacheConcurrencyTest.class, options);
    }
}
