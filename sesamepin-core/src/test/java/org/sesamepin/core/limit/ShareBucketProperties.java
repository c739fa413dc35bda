package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Properties of one bucket under random sequences of takes, grants, closes and waits. */
class ShareBucketProperties {
    private static final long MS = 1_000_000L;
    private static final double RATE = 20;
    private static final double BURST = 8;

    /** The tokens taken and granted in any sequence are at most rate * t + burst. */
    @Property(tries = 500, seed = "7")
    void neverGrantsMoreThanRateAndBurst(
            @ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 399) Integer> steps) {
        ShareBucket bucket = new ShareBucket((since, now) -> 1, 0);
        Deque<Long> openBlocks = new ArrayDeque<>();
        long now = 0;
        long id = 0;
        double level = BURST;
        for (int step : steps) {
            double issued = 0;
            switch (step % 4) {
                case 0 -> issued = bucket.take(1, RATE, BURST, now) ? 1 : 0;
                case 1 -> {
                    id++;
                    issued = bucket.grantBlock(id, step / 40, 1, now + 250 * MS, RATE, BURST, now);
                    openBlocks.add(id);
                }
                case 2 -> {
                    if (!openBlocks.isEmpty()) {
                        // No unused tokens: the holder spent the whole block, which is the worst
                        // case.
                        bucket.closeBlock(openBlocks.remove(), 0, RATE, BURST, now);
                    }
                }
                default -> {
                    long wait = (step / 4) * 2L * MS;
                    now += wait;
                    level = Math.min(BURST, level + RATE * wait / 1e9);
                }
            }
            level -= issued;
            double remaining = level;
            // A block counts as spent when it is granted, the earliest possible time.
            assertTrue(remaining > -1e-6, () -> "granted " + -remaining + " tokens too many");
        }
    }

    /** A repeated message must not return the unused tokens of a block twice. */
    @Property(tries = 100, seed = "11")
    void returnsUnusedTokensAtMostOnce(@ForAll @IntRange(min = 1, max = 8) int tokens) {
        ShareBucket bucket = new ShareBucket((since, now) -> 1, 0);
        long fullAt = 2_000 * MS;
        double granted = bucket.grantBlock(1, tokens, 1, fullAt + 250 * MS, RATE, BURST, fullAt);
        bucket.closeBlock(1, granted, RATE, BURST, fullAt);
        bucket.closeBlock(1, granted, RATE, BURST, fullAt);
        int taken = 0;
        while (bucket.take(1, RATE, BURST, fullAt)) {
            taken++;
        }
        assertTrue(taken <= BURST, "tokens taken: " + taken);
    }
}
