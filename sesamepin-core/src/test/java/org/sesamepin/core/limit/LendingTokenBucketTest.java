package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Hosts that share a rate and lend each other tokens. */
class LendingTokenBucketTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @Test
    void newBucketHoldsHalfOfItsShare() {
        LendingTokenBucket rate = new LendingTokenBucket(4, 0);
        rate.refill(0, 4, 0);
        assertTrue(rate.take());
        assertTrue(rate.take());
        assertFalse(rate.take());
    }

    @Test
    void whatIsLentLeavesTheBucket() {
        LendingTokenBucket lender = new LendingTokenBucket(4, 0);
        assertEquals(1.5, lender.lend(1.5));
        assertEquals(0.5, lender.lend(9));
        assertEquals(0, lender.lend(9));
    }

    @Test
    void loansLapse() {
        LendingTokenBucket borrower = new LendingTokenBucket(0, 0);
        borrower.addLoan(3, 0);
        borrower.refill(0, 0, SECOND / 2);
        assertTrue(borrower.take());
        borrower.refill(0, 0, 2 * SECOND);
        assertFalse(borrower.take());
    }

    /** Hosts with moving load that borrow from each other never admit more than is allowed. */
    @Test
    void allHostsTogetherStayWithinRateAndBurst() {
        for (int seed = 0; seed < 50; seed++) {
            play(new Random(seed), 2 + seed % 7, "seed " + seed);
        }
    }

    private static void play(Random random, int hosts, String hint) {
        double rate = 5 + random.nextInt(60);
        double burst = rate;
        List<LendingTokenBucket> shares = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            shares.add(new LendingTokenBucket(burst / hosts, 0));
        }
        long step = SECOND / 200;
        long end = 20 * SECOND;
        List<Long> admitted = new ArrayList<>();
        for (long now = 0; now < end; now += step) {
            for (LendingTokenBucket share : shares) {
                share.refill(rate / hosts, burst / hosts, now);
            }
            LendingTokenBucket busy = shares.get((int) (now / SECOND) % hosts);
            if (random.nextInt(3) > 0 && takeOrBorrow(busy, shares, now)) {
                admitted.add(now);
            }
        }
        for (int first = 0; first < admitted.size(); first += 10) {
            checkWindows(admitted, first, rate, burst, hint);
        }
    }

    private static boolean takeOrBorrow(
            LendingTokenBucket busy, List<LendingTokenBucket> shares, long now) {
        if (busy.take()) {
            return true;
        }
        for (LendingTokenBucket lender : shares) {
            if (lender != busy) {
                busy.addLoan(lender.lend(0.5), now);
            }
        }
        return busy.take();
    }

    /** Every window from one admission on; a token may be rounded up at the window's edges. */
    private static void checkWindows(
            List<Long> admitted, int first, double rate, double burst, String hint) {
        for (int last = first; last < admitted.size(); last++) {
            double seconds = (double) (admitted.get(last) - admitted.get(first)) / SECOND;
            double allowed = rate * seconds + burst + 1;
            assertTrue(
                    last - first + 1 <= allowed,
                    hint + ": " + (last - first + 1) + " in " + seconds);
        }
    }
}
