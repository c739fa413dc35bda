package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the token bucket of one host and loans between the buckets of several hosts. */
class LendingTokenBucketTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @Test
    void newBucketHoldsHalfOfItsBurst() {
        LendingTokenBucket rate = new LendingTokenBucket(4, 0);
        rate.refill(0, 4, 0);
        assertTrue(rate.take());
        assertTrue(rate.take());
        assertFalse(rate.take());
    }

    @Test
    void lentTokensAreRemovedFromTheLender() {
        LendingTokenBucket lender = new LendingTokenBucket(4, 0);
        assertEquals(1.5, lender.lend(1.5));
        assertEquals(0.5, lender.lend(9));
        assertEquals(0, lender.lend(9));
    }

    @Test
    void loansExpire() {
        LendingTokenBucket borrower = new LendingTokenBucket(0, 0);
        borrower.addLoan(3, 0);
        borrower.refill(0, 0, SECOND / 2);
        assertTrue(borrower.take());
        borrower.refill(0, 0, 2 * SECOND);
        assertFalse(borrower.take());
    }

    /**
     * Loans must not create tokens: under a load that moves between hosts, which lend tokens to
     * each other, all hosts together admit at most rate * t + burst.
     */
    @Test
    void allHostsTogetherAdmitAtMostRateAndBurst() {
        for (int seed = 0; seed < 50; seed++) {
            simulateMovingLoad(new Random(seed), 2 + seed % 7, "seed " + seed);
        }
    }

    private static void simulateMovingLoad(Random random, int hosts, String seedLabel) {
        double rate = 5 + random.nextInt(60);
        double burst = rate;
        List<LendingTokenBucket> buckets = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            buckets.add(new LendingTokenBucket(burst / hosts, 0));
        }
        long step = SECOND / 200;
        long end = 20 * SECOND;
        List<Long> admitted = new ArrayList<>();
        for (long now = 0; now < end; now += step) {
            for (LendingTokenBucket bucket : buckets) {
                bucket.refill(rate / hosts, burst / hosts, now);
            }
            LendingTokenBucket loadedBucket = buckets.get((int) (now / SECOND) % hosts);
            if (random.nextInt(3) > 0 && takeOrBorrow(loadedBucket, buckets, now)) {
                admitted.add(now);
            }
        }
        for (int first = 0; first < admitted.size(); first += 10) {
            checkEveryWindow(admitted, first, rate, burst, seedLabel);
        }
    }

    private static boolean takeOrBorrow(
            LendingTokenBucket loadedBucket, List<LendingTokenBucket> buckets, long now) {
        if (loadedBucket.take()) {
            return true;
        }
        for (LendingTokenBucket lender : buckets) {
            if (lender != loadedBucket) {
                loadedBucket.addLoan(lender.lend(0.5), now);
            }
        }
        return loadedBucket.take();
    }

    /**
     * Checks every window that starts at the given admission. One extra token is allowed for
     * rounding at the edges of the window.
     */
    private static void checkEveryWindow(
            List<Long> admitted, int first, double rate, double burst, String seedLabel) {
        for (int last = first; last < admitted.size(); last++) {
            double seconds = (double) (admitted.get(last) - admitted.get(first)) / SECOND;
            double allowed = rate * seconds + burst + 1;
            assertTrue(
                    last - first + 1 <= allowed,
                    seedLabel
                            + ": "
                            + (last - first + 1)
                            + " admissions, window in seconds: "
                            + seconds);
        }
    }
}
