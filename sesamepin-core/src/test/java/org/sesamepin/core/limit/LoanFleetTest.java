package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.membership.CoordinatorCandidates;
import org.sesamepin.core.serving.CustomerSpec;

/**
 * Shows why a large fleet does not use loans: with fewer requests per second than hosts, borrowed
 * tokens expire at hosts that seldom see the customer again, and requests inside the rate are
 * refused.
 */
class LoanFleetTest {
    private static final int SEEDS = 5;
    private static final int MAX_CONCURRENT_LENDERS = 4;
    private static final int MAX_ROUNDS = 2;
    private static final double LOAN_SECONDS = 0.25;

    private final Map<String, LendingTokenBucket> mBuckets = new HashMap<>();
    private final Map<String, DemandMeter> mDemands = new HashMap<>();
    private final Map<String, Set<String>> mHolders = new HashMap<>();

    @Test
    void loansRefuseRequestsInsideTheRate() {
        long end = 60 * RateWorkload.SECOND;
        int refused = 0;
        int total = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            mBuckets.clear();
            mDemands.clear();
            Random random = new Random(seed);
            List<RateWorkload.Arrival> inside =
                    RateWorkload.insideRate(RateWorkload.arrivals(0.45, 0, end, random), 0);
            total += inside.size();
            for (RateWorkload.Arrival arrival : inside) {
                refused += admit(arrival, random) ? 0 : 1;
            }
        }
        String figures = refused + " of " + total + " requests refused";
        assertTrue(refused > total / 100, figures);
    }

    /** Admits as a host does that asks four lenders at a time, without delay of messages. */
    private boolean admit(RateWorkload.Arrival arrival, Random random) {
        CustomerSpec customer = arrival.customer();
        Set<String> holders =
                mHolders.computeIfAbsent(
                        customer.name(),
                        name -> CoordinatorCandidates.ranked(name, RateWorkload.coresByHost(), 12));
        long now = arrival.at();
        LendingTokenBucket own = bucket(arrival.host(), customer, holders, now);
        DemandMeter demand =
                mDemands.computeIfAbsent(
                        arrival.host() + customer.name(), k -> new DemandMeter(now));
        demand.count(1, now);
        if (own.take()) {
            return true;
        }
        List<String> lenders = new ArrayList<>(holders);
        lenders.remove(arrival.host());
        Collections.shuffle(lenders, random);
        for (int round = 0; round < MAX_ROUNDS && !lenders.isEmpty(); round++) {
            int count = Math.min(MAX_CONCURRENT_LENDERS, lenders.size());
            List<String> asked = lenders.subList(0, count);
            double wanted = 1 + demand.tokensPerSecond(now) * LOAN_SECONDS / count;
            asked.forEach(
                    host -> own.addLoan(bucket(host, customer, holders, now).lend(wanted), now));
            if (own.take()) {
                return true;
            }
            lenders = lenders.subList(count, lenders.size());
        }
        return false;
    }

    private LendingTokenBucket bucket(
            String host, CustomerSpec customer, Set<String> holders, long now) {
        double fraction = holders.contains(host) ? 1.0 / holders.size() : 0;
        double burst = customer.burst() * fraction;
        LendingTokenBucket bucket =
                mBuckets.computeIfAbsent(
                        host + customer.name(), k -> new LendingTokenBucket(burst, 0));
        bucket.refill(customer.ratePerS() * fraction, burst, now);
        return bucket;
    }
}
